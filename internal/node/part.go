package node

import (
	"windflow/internal/installation"
)

// part is a subsystem that adds itself to a router. It is off without its section of the settings, and this is all that
// the remaining router knows of it; what it does not need it leaves nil. All of it is called in the loop.
type part struct {
	name        string    // of its section
	descriptors int       // that it may hold, taken off the connections to engines
	acceptor    *acceptor // where it accepts; nil for nowhere
	handsOver   bool      // a successor waits for what this part has to hand over

	// start begins once the core is there.
	start func(l limits) error
	// configure puts other settings in force; kept are the fields that can't change.
	configure func(s *installation.Settings, l limits) (kept []string)
	// counters are those for the log and SHOW STATUS.
	counters func() []counterGroup
	// busy reports whether something is open.
	busy func() bool
	// drain begins the end of a router that has no successor.
	drain func()
	// leave hands over to a successor, which accepts.
	leave func(to *peer)
	// farewell hands over what is left when nothing is open any more.
	handOverRest func(to *peer)
	// end ends a router that has no successor.
	end func()
	// stop releases what the part has at the end of the process.
	stop func()
	// partnerChanged reports which process shares the router, nil for none.
	partnerChanged func(partner *peer)
	// alone reports that the other process has ended, or has nothing to hand over.
	noHandover func()
	// handlers take messages of the other process, by kind.
	handlers map[string]messageHandler
}

// partConstructors make the parts whose section is there, nil for the others; the order is that in which they start.
var partConstructors = []func(*node) *part{recordPart, flightPart, bgpPart, keeperPart}

// partSet are the parts that are on.
type partSet struct{ all []*part }

// named returns the part of that section, nil where it is off.
func (s *partSet) named(name string) *part {
	for _, p := range s.all {
		if p.name == name {
			return p
		}
	}
	return nil
}

// descriptors are those that parts may hold.
func (s *partSet) descriptors() (n int) {
	for _, p := range s.all {
		n += p.descriptors
	}
	return n
}

// acceptors are where parts accept.
func (s *partSet) acceptors() (all []acceptor) {
	for _, p := range s.all {
		if p.acceptor != nil {
			all = append(all, *p.acceptor)
		}
	}
	return all
}

// configure passes other settings on, and returns the fields that can't change.
func (s *partSet) configure(updated *installation.Settings, l limits) (kept []string) {
	for _, p := range s.all {
		if p.configure != nil {
			kept = append(kept, p.configure(updated, l)...)
		}
	}
	return kept
}

// counters are those of all parts.
func (s *partSet) counters() (all []counterGroup) {
	for _, p := range s.all {
		if p.counters != nil {
			all = append(all, p.counters()...)
		}
	}
	return all
}

// busy reports whether a part has something open.
func (s *partSet) busy() bool {
	for _, p := range s.all {
		if p.busy != nil && p.busy() {
			return true
		}
	}
	return false
}

// handingOver names the parts that have something to hand over.
func (s *partSet) handingOver() (names []string) {
	for _, p := range s.all {
		if p.handsOver {
			names = append(names, p.name)
		}
	}
	return names
}

func (s *partSet) drain() {
	for _, p := range s.all {
		if p.drain != nil {
			p.drain()
		}
	}
}

// leave has parts hand over what the successor needs at once; nil for one that can't be reached.
func (s *partSet) leave(to *peer) {
	for _, p := range s.all {
		if p.leave != nil && to != nil {
			p.leave(to)
		}
	}
}

// farewell has parts hand over what is left when nothing is open any more.
func (s *partSet) handOverRest(to *peer) {
	for _, p := range s.all {
		if p.handOverRest != nil && to != nil {
			p.handOverRest(to)
		}
	}
}

func (s *partSet) end() {
	for _, p := range s.all {
		if p.end != nil {
			p.end()
		}
	}
}

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

// alone tells the parts that the other process has ended.
func (s *partSet) noHandover() {
	for _, p := range s.all {
		if p.noHandover != nil {
			p.noHandover()
		}
	}
}
