package node

import (
	"net"
	"os"

	"windflow/internal/hotrestartipc"
	"windflow/internal/installation"
)

// part is a subsystem that adds itself to a router. It is off without its section of the settings, and this is all that the
// rest of the router knows of it; what it does not need it leaves nil. All of it is called in the loop.
type part struct {
	name        string     // of its section
	descriptors int        // that it may hold, taken off the connections to engines
	listening   *listening // where it accepts; nil for nowhere
	handsOver   bool       // a process that takes over waits for what this part has to give

	start     func(b bounds) error                                               // the core is there
	configure func(s *installation.Settings, b bounds) (kept []string)           // other settings are in force; kept are the fields that can't change
	counters  func() []counted                                                   // for the log and SHOW STATUS
	busy      func() bool                                                        // something is open
	drain     func()                                                             // the router is told to end, and nobody takes over
	leave     func(to *hotrestartipc.Link)                                       // another process has taken over
	farewell  func(to *hotrestartipc.Link)                                       // nothing is open any more
	end       func()                                                             // the router ends, and nobody has taken over
	stop      func()                                                             // the process ends
	sharing   func(with *hotrestartipc.Link)                                     // another process shares the router; nil: none does
	alone     func()                                                             // that has ended, or has nothing to give
	hear      map[string]func(*hotrestartipc.Link, *hotrestartipc.Message) error // messages of that one, by kind
}

// makers make the parts whose section is there; the order is that in which they start.
var makers = []func(*node) *part{recordPart, flightPart, bgpPart, keepersPart}

// counted is a set of counters: a pointer to a struct of int64 and atomic.Int64.
type counted struct {
	name string
	of   any
}

// listening is a place where a router accepts.
type listening struct {
	name   string // between processes
	field  string // of the settings
	addr   string
	accept func(net.Listener)       // for the first time or again; it takes the listener over
	file   func() (*os.File, error) // a copy of its descriptor
	pause  func()                   // accept no more; what is open stays
}

// The names of listeners between processes.
const (
	listenClients = "clients"
	listenFlight  = "flight"
	listenDoor    = "door"
)

// part gives a part that is on, by its section's name.
func (r *node) part(name string) *part {
	for _, p := range r.parts {
		if p.name == name {
			return p
		}
	}
	return nil
}

// listeners are the places where this router accepts.
func (r *node) listeners() []listening {
	all := []listening{{
		listenClients, "listen", r.cfg.Listen,
		func(lis net.Listener) { r.listening = r.net.Serve(lis, r.front.NewSession) },
		func() (*os.File, error) { return r.listening.File() },
		func() { r.listening.Close() },
	}}
	for _, p := range r.parts {
		if p.listening != nil {
			all = append(all, *p.listening)
		}
	}
	if r.cfg.AdminAddress != "" {
		all = append(all, listening{
			listenDoor, "control", r.cfg.AdminAddress, r.openDoor,
			func() (*os.File, error) { return r.door.File() }, func() { r.door.Close() },
		})
	}
	return all
}
