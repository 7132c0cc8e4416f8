package node

import (
	"slices"

	"windflow/internal/decide/hotrestart"
)

// closeBy tells what is open when the process ends at the latest.
func (r *node) closeBy(patience float64) {
	if r.closing {
		return
	}
	r.closing = true
	longest := 0.0
	for _, k := range r.cfg.Settings.Classes {
		longest = max(longest, float64(k.Deadline)/1e6)
	}
	r.closeAt = max(r.since()+min(longest, patience)+beforeKill, r.loop.Now())
	r.core.SetShutdownDeadline(r.closeAt)
}

// busy tells whether anything is open.
func (r *node) busy() bool {
	return r.core.OpenRequests() > 0 || slices.ContainsFunc(r.parts, func(p *part) bool { return p.busy != nil && p.busy() })
}

// drain answers what comes until nothing is open: no other process is in this one's place.
func (r *node) drain() {
	r.log.Info("draining", "open", r.core.OpenRequests())
	r.leaving = false
	patience := patienceAlone
	if r.machine.Predecessor() != hotrestart.NoProcess || r.machine.Successor() != hotrestart.NoProcess {
		patience = patienceUpgrade
	}
	r.closeBy(patience)
	for _, p := range r.parts {
		if p.drain != nil {
			p.drain()
		}
	}
	r.busyAt = r.loop.Now()
	r.loop.After(max(min(graceMS, r.closeAt-r.busyAt), 0), r.drained)
}

// drained ends the program once nothing has been open for a while. Until then it goes on accepting and answering: what has
// come in whole on an accepted connection is taken, whenever it came. Once all must have been answered, nothing holds the
// end up any more: a client that never finishes a packet would have the program killed.
func (r *node) drained() {
	if r.machine.Phase() != hotrestart.PhaseDraining {
		return // another process accepts now
	}
	now := r.loop.Now()
	if r.busy() || r.front.Busy() {
		r.busyAt = now
	}
	if r.endBy == 0 && (now-r.busyAt >= quietMS || now >= r.closeAt) {
		r.endAll(now)
	}
	if r.endBy > 0 && r.finished(now) {
		r.step(hotrestart.Event{Kind: hotrestart.EventIdle})
		return
	}
	r.loop.After(20, r.drained)
}

// endAll begins the end of all connections of clients.
func (r *node) endAll(now float64) {
	r.endBy = now + endWithin
	if r.listening != nil {
		r.listening.Close() // what was accepted before is heard; who comes now hears at once that nobody is here
	}
	r.net.BeginShutdown()
	r.front.Shutdown()
}

// finished tells whether all clients have heard the end of their connections, or have had the time for it.
func (r *node) finished(now float64) bool {
	return r.front.Sessions()+r.net.ClosingConns() == 0 && now >= r.endBy-endWithin+lastWords || now >= r.closeAt+lateEnd ||
		now >= r.endBy && !r.busy() && !r.front.Busy()
}

// leave hears out what this process accepted and ends as soon as nothing is left: the other one has the rest.
func (r *node) leave() {
	r.leaving = true
	r.closeBy(patienceUpgrade)
	r.front.Drain()
	for _, part := range r.parts {
		if part.leave != nil && r.with != nil {
			part.leave(r.with.link)
		}
	}
	r.rebound()
	r.sendUse() // the sessions that were closed just now come to the other process at once
	r.busyAt = r.loop.Now()
	r.log.Info("leaving", "sessions", r.front.Sessions(), "open", r.core.OpenRequests())
	r.left()
}

// left ends the process once nothing has been left to hear out for a while.
func (r *node) left() {
	now := r.loop.Now()
	switch {
	case r.machine.Phase() == hotrestart.PhaseDraining:
		return // the other process ended; this is a plain end now
	case r.busy() || r.front.Sessions()+r.net.ClosingConns() > 0:
		r.busyAt = now
	case now-r.busyAt >= lastWords:
		for _, part := range r.parts {
			if part.farewell != nil && r.with != nil {
				part.farewell(r.with.link)
			}
		}
		r.step(hotrestart.Event{Kind: hotrestart.EventIdle})
		return
	}
	r.loop.After(10, r.left)
}

// end ends the process once what it sent to others is written, or its time is up.
func (r *node) end() {
	for _, part := range r.parts {
		if part.end != nil && !r.leaving {
			part.end()
		}
	}
	for _, p := range r.links {
		p.link.Close()
	}
	if len(r.links) == 0 {
		r.halt()
		return
	}
	clear(r.links) // their ends are this process's own doing
	r.loop.After(farewellWithin, r.halt)
}

func (r *node) halt() { r.stopping.Do(func() { close(r.stop) }) }

const (
	// lastWords is how long nothing may have been open, in milliseconds: connections that were accepted last are still on
	// their way to the loop, and answers on theirs out of the poller's queues.
	lastWords = 50.0
	// farewellWithin is the time for the last messages.
	farewellWithin = 100.0
)

// closeUpgrade gives up what an upgrade needs.
func (r *node) closeUpgrade() {
	if r.place != nil {
		r.place.Close()
	}
	for _, p := range r.links {
		p.link.Close()
	}
	for _, lis := range r.idle {
		_ = lis.Close()
	}
	if r.passed != nil {
		_ = r.passed.Close()
	}
}
