package node

import (
	"windflow/internal/installation"
)

// part is an optional subsystem of a router. It is off if the settings lack its section. The other code of the router
// uses it through these fields only. Functions that a part does not need are nil; all are called in the event loop.
type part struct {
	name        string    // of its section in the settings
	descriptors int       // how many it may hold; subtracted from the connections to engines
	acceptor    *acceptor // where it accepts connections; nil if it does not
	handsOver   bool      // a successor has to wait for what this part hands over

	// start starts the part after the core has been created.
	start func(l limits) error
	// configure applies changed settings. kept lists the changed fields that can't change while running.
	configure func(s *installation.Settings, l limits) (kept []string)
	// counters returns the counters for the log and SHOW STATUS.
	counters func() []counterGroup
	// busy reports whether the part has requests open.
	busy func() bool
	// drain begins the shutdown of a router that has no successor.
	drain func()
	// leave hands over to a successor that accepts now.
	leave func(to *peer)
	// handOverRest hands over what is left once the process has nothing open.
	handOverRest func(to *peer)
	// end is called when a process without a successor ends.
	end func()
	// stop releases the part's resources when the process exits.
	stop func()
	// partnerChanged reports which process shares the router now, nil for none.
	partnerChanged func(partner *peer)
	// noHandover reports that the other process will not hand anything over: it has ended, or has nothing for
	// this part.
	noHandover func()
	// handlers handle messages of the other process, by kind of message.
	handlers map[string]messageHandler
}

// partConstructors lists the constructors of all parts in starting order. Each returns nil if its part is off.
var partConstructors = []func(*node) *part{recordPart, flightPart, bgpPart, keeperPart}

// partSet holds the parts that are on.
type partSet struct{ all []*part }

// named returns the part of a section, or nil if it is off.
func (s *partSet) named(name string) *part {
	for _, p := range s.all {
		if p.name == name {
			return p
		}
	}
	return nil
}

// descriptors returns how many descriptors all parts together may hold.
func (s *partSet) descriptors() (n int) {
	for _, p := range s.all {
		n += p.descriptors
	}
	return n
}

// acceptors returns the acceptors of all parts.
func (s *partSet) acceptors() (all []acceptor) {
	for _, p := range s.all {
		if p.acceptor != nil {
			all = append(all, *p.acceptor)
		}
	}
	return all
}

// configure applies changed settings to all parts. It returns the changed fields that can't change while running.
func (s *partSet) configure(updated *installation.Settings, l limits) (kept []string) {
	for _, p := range s.all {
		if p.configure != nil {
			kept = append(kept, p.configure(updated, l)...)
		}
	}
	return kept
}

// counters returns the counters of all parts.
func (s *partSet) counters() (all []counterGroup) {
	for _, p := range s.all {
		if p.counters != nil {
			all = append(all, p.counters()...)
		}
	}
	return all
}

// busy reports whether any part has requests open.
func (s *partSet) busy() bool {
	for _, p := range s.all {
		if p.busy != nil && p.busy() {
			return true
		}
	}
	return false
}

// handingOver returns the names of the parts that hand something over.
func (s *partSet) handingOver() (names []string) {
	for _, p := range s.all {
		if p.handsOver {
			names = append(names, p.name)
		}
	}
	return names
}

// drain begins the shutdown of the parts of a router that has no successor.
func (s *partSet) drain() {
	for _, p := range s.all {
		if p.drain != nil {
			p.drain()
		}
	}
}

// leave has the parts hand over what the successor needs at once. to is nil if the successor can't be reached.
func (s *partSet) leave(to *peer) {
	for _, p := range s.all {
		if p.leave != nil && to != nil {
			p.leave(to)
		}
	}
}

// handOverRest has the parts hand over what is left once the process has nothing open. to is nil if the successor can't
// be reached.
func (s *partSet) handOverRest(to *peer) {
	for _, p := range s.all {
		if p.handOverRest != nil && to != nil {
			p.handOverRest(to)
		}
	}
}

// end tells the parts that a process without a successor ends.
func (s *partSet) end() {
	for _, p := range s.all {
		if p.end != nil {
			p.end()
		}
	}
}

// stop releases the parts' resources when the process exits.
func (s *partSet) stop() {
	for _, p := range s.all {
		if p.stop != nil {
			p.stop()
		}
	}
}

// partnerChanged tells the parts which process shares the router with this one, nil for none.
func (s *partSet) partnerChanged(partner *peer) {
	for _, p := range s.all {
		if p.partnerChanged != nil {
			p.partnerChanged(partner)
		}
	}
}

// noHandover tells the parts that the other process has ended.
func (s *partSet) noHandover() {
	for _, p := range s.all {
		if p.noHandover != nil {
			p.noHandover()
		}
	}
}
