package node

import (
	"log/slog"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/router"
)

const (
	// arrivalGraceMS is how long after SIGTERM new requests may still arrive. The platform's protocol says 600 ms.
	arrivalGraceMS = 1000.0
	// After SIGTERM the platform waits before it kills the process: for the longest deadline of a class, capped at
	// standaloneDeadlineCapMS, or at hotRestartDeadlineCapMS in a hot restart, plus 700 ms. Open requests are answered
	// answerSlackMS after that capped deadline at the latest, which is before the kill.
	standaloneDeadlineCapMS = 3000.0
	hotRestartDeadlineCapMS = 5000.0
	answerSlackMS           = 450.0
	// idleMS is how long a draining process has to have nothing open before it ends.
	idleMS = 200.0
	// closeTimeoutMS is how long clients have to close their connections when the process ends. The process ends at the
	// latest endSlackMS after the time by which open requests are answered. The kill follows 250 ms after the same time.
	closeTimeoutMS, endSlackMS = 300.0, 120.0
	// settleMS is how long a process that leaves has to have nothing open before it ends. The poller may still have to
	// pass the last accepted connections to the event loop, and to write answers from its queues.
	settleMS = 50.0
	// drainPollMS and leavePollMS are how often a draining or a leaving process checks whether anything is open.
	drainPollMS = 20.0
	leavePollMS = 10.0
)

// shutdownSequence ends the process gracefully. The process drains if no other process replaces it: it continues to
// accept until nothing is open. It leaves if another process accepts in its place: it only finishes what it accepted.
type shutdownSequence struct {
	log               *slog.Logger
	loop              *router.Loop
	active            *activeSettings
	services          *services
	parts             *partSet
	restart           *coordinator
	listeners         *listeners
	earliestEventTime func() float64 // earliest time at which a signal that is noticed now may have arrived
	shrinkLimits      func()         // reduces the limits of a process that leaves, and reports its usage

	leaving     bool    // the other process accepts; this one only finishes what it accepted
	deadlineSet bool    // the shutdown deadline has been set for open requests
	lastBusyAt  float64 // when something was last open
	answeredBy  float64 // latest time for the answers to open requests; valid if deadlineSet
	closeBy     float64 // when clients that do not close are disconnected; 0 until connections are closed
}

// setDeadline sets the time by which open requests are answered. deadlineCapMS caps the longest deadline of a class.
// Only the first call has an effect.
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

// busy reports whether requests are open in the core or in a part.
func (s *shutdownSequence) busy() bool { return s.services.core.OpenRequests() > 0 || s.parts.busy() }

// drain shuts the process down when no other process replaces it: requests that arrive are answered until nothing is
// open.
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

// checkDrained closes all connections once nothing has been open for idleMS, and then ends the process. Until then the
// process accepts and answers: each request that has arrived completely on an accepted connection is handled, whenever
// it arrived. After the time by which all are answered nothing delays the end, since otherwise a client that never
// finishes a packet would keep the process running until it is killed.
func (s *shutdownSequence) checkDrained() {
	if s.restart.phase() != hotrestart.PhaseDraining {
		return // another process accepts now, and this one leaves
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

// closeConnections stops accepting and starts to close all connections of clients.
func (s *shutdownSequence) closeConnections(now float64) {
	s.closeBy = now + closeTimeoutMS
	s.listeners.closeClients()
	s.services.net.BeginShutdown()
	s.services.front.Shutdown()
}

// finished reports whether the process may end: all connections are closed and settleMS have passed, or clients have
// had closeTimeoutMS to close and nothing is open, or the latest time to end has come.
func (s *shutdownSequence) finished(now float64) bool {
	open := s.services.front.Sessions() + s.services.net.ClosingConns()
	return open == 0 && now >= s.closeBy-closeTimeoutMS+settleMS || now >= s.answeredBy+endSlackMS ||
		now >= s.closeBy && !s.busy() && !s.services.front.Busy()
}

// leave finishes what this process accepted and then ends it, while the other process serves everything new. to is the
// link to the other process, nil if it can't be reached.
func (s *shutdownSequence) leave(to *peer) {
	s.leaving = true
	s.setDeadline(hotRestartDeadlineCapMS)
	s.services.front.Drain()
	s.parts.leave(to)
	s.shrinkLimits() // at once, so that the other process may use the sessions that were just closed
	s.lastBusyAt = s.loop.Now()
	s.log.Info("graceful shutdown started", "sessions", s.services.front.Sessions(),
		"open", s.services.core.OpenRequests())
	s.checkLeaveFinished()
}

// checkLeaveFinished ends the process once nothing that it accepted has been open for settleMS.
func (s *shutdownSequence) checkLeaveFinished() {
	now := s.loop.Now()
	switch {
	case s.restart.phase() == hotrestart.PhaseDraining:
		return // the other process has ended, and this one drains instead
	case s.busy() || s.services.front.Sessions()+s.services.net.ClosingConns() > 0:
		s.lastBusyAt = now
	case now-s.lastBusyAt >= settleMS:
		s.parts.handOverRest(s.restart.partnerPeer())
		s.restart.reportIdle()
		return
	}
	s.loop.After(leavePollMS, s.checkLeaveFinished)
}
