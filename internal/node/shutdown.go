package node

import (
	"log/slog"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/router"
)

const (
	// graceMS is how long after SIGTERM requests may still come; the platform's protocol says 600.
	arrivalGraceMS = 1000.0
	// After SIGTERM a kill follows no sooner than the longest deadline, counted as patienceAloneMS at most, or in a hot
	// restart as patienceRestartMS, and 700 ms. What is open is answered answerSlackMS after that deadline: before the
	// kill follows.
	standaloneDeadlineCapMS = 3000.0
	hotRestartDeadlineCapMS = 5000.0
	answerSlackMS           = 450.0
	// quietMS is how long nothing may have been open before a process that drains ends.
	idleMS = 200.0
	// closeTimeoutMS is how long clients have to close when the process ends, and endSlackMS how long past the time at
	// which all is answered at the latest: the kill follows 250 ms after that.
	closeTimeoutMS, endSlackMS = 300.0, 120.0
	// settleMS is how long nothing may have been open before a process that leaves ends: connections that were accepted
	// last are still on their way to the loop, and answers on theirs out of the poller's queues.
	settleMS = 50.0
	// drainPollMS and leavePollMS are how often a process that ends looks whether anything is open.
	drainPollMS = 20.0
	leavePollMS = 10.0
)

// shutdownSequence ends the process gracefully: by itself, when it drains, or beside another process that accepts
// instead, when it leaves.
type shutdownSequence struct {
	log               *slog.Logger
	loop              *router.Loop
	active            *activeSettings
	services          *services
	parts             *partSet
	restart           *coordinator
	listeners         *listeners
	earliestEventTime func() float64 // when a signal that is noticed now may have come
	shrinkLimits      func()         // shrinks the limits of a process that leaves, and reports its usage

	leaving     bool    // the other process accepts; this one finishes what it accepted
	deadlineSet bool    // open requests know when the process ends
	lastBusyAt  float64 // when something was open last
	answeredBy  float64 // when what is open has been answered at the latest, once deadlineSet
	closeBy     float64 // when clients that do not close are disconnected; 0 until connections are closed
}

// setDeadline tells open requests, once, when the process ends at the latest.
func (s *shutdownSequence) setDeadline(deadlineCapMS float64) {
	if s.deadlineSet {
		return
	}
	s.deadlineSet = true
	longest := 0.0
	for _, class := range s.active.platform.Settings.Classes {
		longest = max(longest, float64(class.DeadlineNS)/1e6)
	}
	s.answeredBy = max(s.earliestEventTime()+min(longest, deadlineCapMS)+answerSlackMS, s.loop.Now())
	s.services.core.SetShutdownDeadline(s.answeredBy)
}

// busy reports whether requests are open.
func (s *shutdownSequence) busy() bool { return s.services.core.OpenRequests() > 0 || s.parts.busy() }

// drain answers what arrives until nothing is open: no other process replaces this one.
func (s *shutdownSequence) drain() {
	s.log.Info("draining", "open", s.services.core.OpenRequests())
	s.leaving = false
	deadlineCap := standaloneDeadlineCapMS
	if s.restart.hasOtherProcess() {
		deadlineCap = hotRestartDeadlineCapMS
	}
	s.setDeadline(deadlineCap)
	s.parts.drain()
	s.lastBusyAt = s.loop.Now()
	s.loop.After(max(min(arrivalGraceMS, s.answeredBy-s.lastBusyAt), 0), s.checkDrained)
}

// checkDrained ends the process once nothing has been open for a while. Until then it continues accepting and
// answering: each request that has arrived complete on an accepted connection is taken, whenever it arrived. Once all
// must have been answered, nothing delays the end any more: a client that never finishes a packet would have the
// process killed.
func (s *shutdownSequence) checkDrained() {
	if s.restart.phase() != hotrestart.PhaseDraining {
		return // another process accepts now
	}
	now := s.loop.Now()
	if s.busy() || s.services.front.Busy() {
		s.lastBusyAt = now
	}
	if s.closeBy == 0 && (now-s.lastBusyAt >= idleMS || now >= s.answeredBy) {
		s.closeConnections(now)
	}
	if s.closeBy > 0 && s.finished(now) {
		s.restart.reportIdle()
		return
	}
	s.loop.After(drainPollMS, s.checkDrained)
}

// closeConnections begins the end of all connections of clients.
func (s *shutdownSequence) closeConnections(now float64) {
	s.closeBy = now + closeTimeoutMS
	s.listeners.closeClients()
	s.services.net.BeginShutdown()
	s.services.front.Shutdown()
}

// finished reports whether all clients have read the end of their connections, or have had the time for it.
func (s *shutdownSequence) finished(now float64) bool {
	open := s.services.front.Sessions() + s.services.net.ClosingConns()
	return open == 0 && now >= s.closeBy-closeTimeoutMS+settleMS || now >= s.answeredBy+endSlackMS ||
		now >= s.closeBy && !s.busy() && !s.services.front.Busy()
}

// leave finishes what this process accepted and ends as soon as nothing is left: the other process serves everything
// else.
func (s *shutdownSequence) leave(to *peer) {
	s.leaving = true
	s.setDeadline(hotRestartDeadlineCapMS)
	s.services.front.Drain()
	s.parts.leave(to)
	s.shrinkLimits() // the sessions that were closed just now come to the other process at once
	s.lastBusyAt = s.loop.Now()
	s.log.Info("graceful shutdown started", "sessions", s.services.front.Sessions(),
		"open", s.services.core.OpenRequests())
	s.checkLeaveFinished()
}

// checkLeft ends the process once nothing that it accepted has been open for a while.
func (s *shutdownSequence) checkLeaveFinished() {
	now := s.loop.Now()
	switch {
	case s.restart.phase() == hotrestart.PhaseDraining:
		return // the other process ended; this is a shutdown without a successor now
	case s.busy() || s.services.front.Sessions()+s.services.net.ClosingConns() > 0:
		s.lastBusyAt = now
	case now-s.lastBusyAt >= settleMS:
		s.parts.handOverRest(s.restart.partnerPeer())
		s.restart.reportIdle()
		return
	}
	s.loop.After(leavePollMS, s.checkLeaveFinished)
}
