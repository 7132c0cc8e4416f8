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
	NoProcess         ProcessNumber = 0
	LegacyPredecessor ProcessNumber = 1              // a process of version 1 that was there before
	FirstProcess      ProcessNumber = 2              // the first place
	LegacySuccessor   ProcessNumber = math.MaxUint64 // a process of version 1 that came later
)

// Versions of the protocol. Version 1 has hello, state, ready and go-ahead; its processes know neither of places nor of
// a word to wait, and give up a silent elder after 2 s.
const (
	ProtocolVersion       = 2
	OldestProtocolVersion = 1
)

// NegotiateVersion gives the version that two processes speak, each of which tells its newest; one that tells none is of version 1.
// False says that they share none.
func NegotiateVersion(theirs int) (version int, ok bool) {
	version = min(max(theirs, 1), ProtocolVersion)
	return version, version >= OldestProtocolVersion
}

// Phase is where a process stands.
type Phase uint8

// Phases.
const (
	PhaseFindingPredecessor Phase = iota // whether anybody was there before
	PhaseAwaitingState                   // a living elder was met; its state is awaited
	PhaseAwaitingGoAhead                 // the state is here; the elder's go-ahead is awaited
	PhaseServing                         // it accepts
	PhaseDegraded                        // it accepts within the reserve, since a living elder is silent
	PhaseSuperseded                      // the newer one accepts; what this one accepted goes on
	PhaseFinishing                       // yielded, and told to end: it ends when nothing is open
	PhaseDraining                        // told to end with nobody in its place: it accepts until nothing has been open for a while
	PhaseEnded
)

var phaseNames = [...]string{"looking", "asking", "taking", "serving", "guarded", "yielded", "leaving", "draining", "ended"}

func (p Phase) String() string { return phaseNames[p] }

// Share is the part of the router's bounds that a process may use.
type Share uint8

// Shares. A whole one and a reserve fit the limits together, and so do two halves.
const (
	ShareNone Share = iota // it asks and holds what that takes
	ShareReserve
	ShareHalf
	ShareFull
)

// MessageKind is that of a message between two processes.
type MessageKind uint8

// Kinds of message.
const (
	MessageHello    MessageKind = iota // new: is there a state for me?
	MessageWait                        // elder: not now; ask again
	MessageState                       // elder: bans, ids, warmth, listeners
	MessageReady                       // it can accept: stop accepting
	MessageGoAhead                     // I accept no more
	MessageHandBack                    // new: I am told to end; accept again
)

var messageNames = [...]string{"hello", "wait", "state", "ready", "go-ahead", "back"}

func (k MessageKind) String() string { return messageNames[k] }

// EventKind is what an event tells.
type EventKind uint8

// Events.
const (
	EventTick             EventKind = iota // time has passed
	EventPredecessorFound                  // Peer is the newest living process before this one, or None; Gone comes besides for an elder that ended
	EventMessageReceived                   // Message from Peer
	EventLinkLost                          // the link to Peer broke, and Peer lives
	EventProcessEnded                      // Peer has ended
	EventStopRequested                     // the process is told to end
	EventIdle                              // nothing has been open for a while
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
	ActionFindPredecessor Action = iota // find the newest living process before this one, link up with it, and say Looked
	ActionSend                          // Message to Peer
	ActionRestoreState                  // go on from the state that came last; prepare to accept
	ActionStartAccepting                // begin, or begin again, to accept
	ActionStopAccepting                 // stop accepting, and keep what it takes to accept again
	ActionFinish                        // hear out what was accepted and close idle sessions
	ActionDrain                         // accept and answer until nothing is open
	ActionEnd                           // end the process
	ActionSetShare                      // go by Share
)

// Effect is one thing to do, in the order given.
type Effect struct {
	Action  Action
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

// DefaultSettings are the settings in service.
var DefaultSettings = Settings{HelloTimeout: 5400, SilenceTimeout: 3000, HelloInterval: 150, GoAheadTimeout: 500}

// Machine is one process's side. It is a plain value: a copy is another machine in the same state.
type Machine struct {
	Self            ProcessNumber
	settings        Settings
	phase           Phase
	share           Share
	predecessor     ProcessNumber // the process before this one that is asked, or that this one goes on from; None when it has ended
	successor       ProcessNumber // the process that has this one's state
	goAheadReceived bool          // the elder has said that it accepts no more
	handedBack      bool          // the newer one was told to end, and gave the place back
	stateKnown      bool          // the elder's state, or that there is nobody: ids that may have run are known
	stopRequested   bool          // told to end
	helloPending    bool          // a hello has no answer yet
	hasAccepted     bool          // it accepted at some time
	awaitDeadline   float64
	nextHelloAt     float64 // 0 while nothing is to be asked
}

// New gives the machine of a process that has just taken its place.
func New(self ProcessNumber, now float64, set Settings) (Machine, []Effect) {
	m := Machine{Self: self, settings: set, awaitDeadline: now + set.HelloTimeout}
	return m, []Effect{{Action: ActionFindPredecessor}}
}

// Phase is where it stands.
func (m *Machine) Phase() Phase { return m.phase }

// Share is what it goes by.
func (m *Machine) Share() Share { return m.share }

// Predecessor and Newer are the processes that it has to do with, or None.
func (m *Machine) Predecessor() ProcessNumber { return m.predecessor }

// Successor: see Elder.
func (m *Machine) Successor() ProcessNumber { return m.successor }

// Ready tells whether the process says yes to an operator who asks whether it serves.
func (m *Machine) Ready() bool { return m.phase == PhaseServing || m.phase == PhaseDegraded }

// Accepts tells whether the process accepts clients now.
func (m *Machine) Accepts() bool { return m.Ready() || m.phase == PhaseDraining }

// MustAsk tells whom a process must ask before it begins what must not run twice, and whether it may begin such work at
// all. Before an elder has yielded, its word goes ahead of its go-ahead on the same link, so it needs to ask nobody;
// afterwards both have open sessions, and either asks the other.
func (m *Machine) MustAsk() (ask ProcessNumber, may bool) {
	switch {
	case m.phase == PhaseDegraded || !m.stateKnown:
		return NoProcess, false
	case m.predecessor != NoProcess:
		return m.predecessor, true
	case m.phase == PhaseSuperseded || m.phase == PhaseFinishing || m.handedBack:
		return m.successor, true
	}
	return NoProcess, true
}

// Due is when Step wants a Tick; +Inf for never.
func (m *Machine) Due() float64 {
	due := math.Inf(1)
	if m.phase == PhaseEnded {
		return due // Step takes nothing in any more, so that what is due would be so for ever
	}
	if m.nextHelloAt > 0 {
		due = m.nextHelloAt
	}
	if m.phase == PhaseAwaitingState || m.phase == PhaseAwaitingGoAhead {
		due = min(due, m.awaitDeadline)
	}
	return due
}

// Step takes one event in at that time, in milliseconds, and gives what is to be done. An event that makes no sense
// where the process stands, as a message that comes late or twice, changes nothing.
func (m *Machine) Step(now float64, ev Event) []Effect {
	if m.phase == PhaseEnded {
		return nil
	}
	s := step{Machine: m, now: now}
	switch ev.Kind {
	case EventTick:
		s.tick()
	case EventPredecessorFound:
		s.looked(ev.Process)
	case EventMessageReceived:
		s.received(ev.Process, ev.Message)
	case EventLinkLost:
		s.cut(ev.Process)
	case EventProcessEnded:
		s.gone(ev.Process)
	case EventStopRequested:
		s.stopped()
	case EventIdle:
		if m.phase == PhaseFinishing || m.phase == PhaseDraining {
			s.to(PhaseEnded)
			s.do(Effect{Action: ActionEnd})
		}
	}
	return s.out
}
