// Package hotrestart decides how one process of a router goes on in another one's place: who asks whom, who accepts, with
// which part of the bounds, and who ends. It is a pure state machine. Events and the time come in, effects come out; the
// sockets, files and timers are the caller's. docs/design/takeover.md says why it is as it is.
//
// All processes of a router stand in one order, that of their starts. Each asks only the newest living one before it,
// its elder, and at most two are in a takeover at a time: a third one is told to wait. What holds at any time:
//
//   - A process that has met a living elder does not serve as if there were none. While the elder is silent it says no
//     to its operator; when that has lasted too long it serves with the reserve that every process leaves for a
//     successor (Reserve), knows all bans (they are kept where the processes meet), and takes in nothing that must not
//     run twice.
//   - The elder stops accepting by a message only, and the new one accepts once it has the elder's word, or its end, or
//     no word for so long that the elder hangs.
//   - What must not run twice is begun while both take such requests only with the other's word (Peers).
package hotrestart

import "math"

// ProcessNumber names a process of the router by its place in the order of their starts.
type ProcessNumber uint64

// Peers that have no place of their own.
const (
	None     ProcessNumber = 0
	Unplaced ProcessNumber = 1              // a process of version 1 that was there before
	First    ProcessNumber = 2              // the first place
	Stranger ProcessNumber = math.MaxUint64 // a process of version 1 that came later
)

// Versions of the protocol. Version 1 has hello, state, ready and go-ahead; its processes know neither of places nor of
// a word to wait, and give up a silent elder after 2 s.
const (
	Version = 2
	Oldest  = 1
)

// Agree gives the version that two processes speak, each of which tells its newest; one that tells none is of version 1.
// False says that they share none.
func Agree(theirs int) (version int, ok bool) {
	version = min(max(theirs, 1), Version)
	return version, version >= Oldest
}

// Phase is where a process stands.
type Phase uint8

// Phases.
const (
	FindingPredecessor Phase = iota // whether anybody was there before
	AskingPredecessor               // a living elder was met; its state is awaited
	TakingOver                      // the state is here; the elder's go-ahead is awaited
	Serving                         // it accepts
	Degraded                        // it accepts within the reserve, since a living elder is silent
	Superseded                      // the newer one accepts; what this one accepted goes on
	Leaving                         // yielded, and told to end: it ends when nothing is open
	Draining                        // told to end with nobody in its place: it accepts until nothing has been open for a while
	Ended
)

var phaseNames = [...]string{"looking", "asking", "taking", "serving", "guarded", "yielded", "leaving", "draining", "ended"}

func (p Phase) String() string { return phaseNames[p] }

// Share is the part of the router's bounds that a process may use.
type Share uint8

// Shares. A whole one and a reserve fit the limits together, and so do two halves.
const (
	Nothing Share = iota // it asks and holds what that takes
	ReserveShare
	HalfShare
	FullShare
)

// MessageKind is that of a message between two processes.
type MessageKind uint8

// Kinds of message.
const (
	Hello   MessageKind = iota // new: is there a state for me?
	Wait                       // elder: not now; ask again
	State                      // elder: bans, ids, warmth, listeners
	Ready                      // it can accept: stop accepting
	GoAhead                    // I accept no more
	Back                       // new: I am told to end; accept again
)

var kindNames = [...]string{"hello", "wait", "state", "ready", "go-ahead", "back"}

func (k MessageKind) String() string { return kindNames[k] }

// EventKind is what an event tells.
type EventKind uint8

// Events.
const (
	Tick             EventKind = iota // time has passed
	PredecessorFound                  // Peer is the newest living process before this one, or None; Gone comes besides for an elder that ended
	Received                          // Message from Peer
	Cut                               // the link to Peer broke, and Peer lives
	Gone                              // Peer has ended
	Stop                              // the process is told to end
	Quiet                             // nothing has been open for a while
)

// Event is one event.
type Event struct {
	Kind    EventKind
	Process ProcessNumber
	Message MessageKind
}

// Action is what an effect asks for.
type Action uint8

// Effects.
const (
	FindPredecessor Action = iota // find the newest living process before this one, link up with it, and say Looked
	Send                          // Message to Peer
	RestoreState                  // go on from the state that came last; prepare to accept
	StartAccepting                // begin, or begin again, to accept
	StopAccepting                 // stop accepting, and keep what it takes to accept again
	Leave                         // hear out what was accepted and close idle sessions
	Drain                         // accept and answer until nothing is open
	End                           // end the process
	SetShare                      // go by Share
)

// Effect is one thing to do, in the order given.
type Effect struct {
	Do      Action
	Process ProcessNumber
	Message MessageKind
	Share   Share
}

// Settings of the machine, in milliseconds.
type Settings struct {
	// AskWithin is how long a process that has met a living elder waits, from its start, before it serves without its
	// word; the platform wants its yes within 6 s.
	HelloTimeout float64
	// SilentFor is how long an elder that did say something may be silent before it counts as hanging.
	SilenceTimeout float64
	// AskEvery is the distance of two questions.
	HelloInterval float64
	// GoAheadWithin is the least time that an elder has to stop accepting.
	GoAheadTimeout float64
}

// Defaults are the settings in service.
var Defaults = Settings{HelloTimeout: 5400, SilenceTimeout: 3000, HelloInterval: 150, GoAheadTimeout: 500}

// Machine is one process's side. It is a plain value: a copy is another machine in the same state.
type Machine struct {
	Self    ProcessNumber
	set     Settings
	phase   Phase
	share   Share
	elder   ProcessNumber // the process before this one that is asked, or that this one goes on from; None when it has ended
	newer   ProcessNumber // the process that has this one's state
	yielded bool          // the elder has said that it accepts no more
	back    bool          // the newer one was told to end, and gave the place back
	known   bool          // the elder's state, or that there is nobody: ids that may have run are known
	stop    bool          // told to end
	waits   bool          // a hello has no answer yet
	begun   bool          // it accepted at some time
	askBy   float64
	askAt   float64 // 0 while nothing is to be asked
}

// New gives the machine of a process that has just taken its place.
func New(self ProcessNumber, now float64, set Settings) (Machine, []Effect) {
	m := Machine{Self: self, set: set, askBy: now + set.HelloTimeout}
	return m, []Effect{{Do: FindPredecessor}}
}

// Phase is where it stands.
func (m *Machine) Phase() Phase { return m.phase }

// Share is what it goes by.
func (m *Machine) Share() Share { return m.share }

// Predecessor and Newer are the processes that it has to do with, or None.
func (m *Machine) Predecessor() ProcessNumber { return m.elder }

// Successor: see Elder.
func (m *Machine) Successor() ProcessNumber { return m.newer }

// Ready tells whether the process says yes to an operator who asks whether it serves.
func (m *Machine) Ready() bool { return m.phase == Serving || m.phase == Degraded }

// Accepts tells whether the process accepts clients now.
func (m *Machine) Accepts() bool { return m.Ready() || m.phase == Draining }

// MustAsk tells whom a process must ask before it begins what must not run twice, and whether it may begin such work at
// all. Before an elder has yielded, its word goes ahead of its go-ahead on the same link, so it needs to ask nobody;
// afterwards both have open sessions, and either asks the other.
func (m *Machine) MustAsk() (ask ProcessNumber, may bool) {
	switch {
	case m.phase == Degraded || !m.known:
		return None, false
	case m.elder != None:
		return m.elder, true
	case m.phase == Superseded || m.phase == Leaving || m.back:
		return m.newer, true
	}
	return None, true
}

// Due is when Step wants a Tick; +Inf for never.
func (m *Machine) Due() float64 {
	due := math.Inf(1)
	if m.phase == Ended {
		return due // Step takes nothing in any more, so that what is due would be so for ever
	}
	if m.askAt > 0 {
		due = m.askAt
	}
	if m.phase == AskingPredecessor || m.phase == TakingOver {
		due = min(due, m.askBy)
	}
	return due
}

// Step takes one event in at that time, in milliseconds, and gives what is to be done. An event that makes no sense
// where the process stands, as a message that comes late or twice, changes nothing.
func (m *Machine) Step(now float64, ev Event) []Effect {
	if m.phase == Ended {
		return nil
	}
	s := step{Machine: m, now: now}
	switch ev.Kind {
	case Tick:
		s.tick()
	case PredecessorFound:
		s.looked(ev.Process)
	case Received:
		s.received(ev.Process, ev.Message)
	case Cut:
		s.cut(ev.Process)
	case Gone:
		s.gone(ev.Process)
	case Stop:
		s.stopped()
	case Quiet:
		if m.phase == Leaving || m.phase == Draining {
			s.to(Ended)
			s.do(Effect{Do: End})
		}
	}
	return s.out
}
