package hotrestart

import "math"

// Settings are the timeouts of the machine, in milliseconds.
type Settings struct {
	// HelloTimeoutMS is how long after its start a process waits for the state of a living predecessor before it serves
	// without it. The platform expects a process to be ready within 6 s.
	HelloTimeoutMS float64
	// SilenceTimeoutMS is how long a predecessor that has answered MessageWait may be silent before it counts as
	// hanging.
	SilenceTimeoutMS float64
	// HelloIntervalMS is the time between two questions to the predecessor.
	HelloIntervalMS float64
	// GoAheadTimeoutMS is the least time that a predecessor has to stop accepting.
	GoAheadTimeoutMS float64
}

// DefaultSettings are the settings in service.
var DefaultSettings = Settings{
	HelloTimeoutMS:   5400,
	SilenceTimeoutMS: 3000,
	HelloIntervalMS:  150,
	GoAheadTimeoutMS: 500,
}

// Machine is the state machine of one process. It is a plain value: a copy is another machine in the same state. All
// times are in milliseconds of the caller's clock.
type Machine struct {
	Self     ProcessNumber
	settings Settings
	phase    Phase
	share    Share

	// predecessor is the process whose state is requested or was restored; NoProcess once it has ended.
	predecessor ProcessNumber
	// successor is the process that was sent this one's state.
	successor ProcessNumber
	// goAheadReceived says that the predecessor has stopped accepting.
	goAheadReceived bool
	// handedBack says that the successor was requested to end, and that this process accepts again instead.
	handedBack bool
	// stateKnown says that the predecessor's state is restored or that there is no predecessor: the idempotency ids
	// that may have run are known.
	stateKnown bool
	// stopRequested says that this process was requested to end.
	stopRequested bool
	// helloPending says that a hello has no answer yet.
	helloPending bool
	// hasAccepted says that this process has accepted clients at some time.
	hasAccepted bool
	// awaitDeadline ends the wait for the predecessor's state or go-ahead.
	awaitDeadline float64
	// nextHelloAt is when the predecessor is looked for and called again; 0 for never.
	nextHelloAt float64
}

// New returns the machine of a process that has just acquired its number.
func New(self ProcessNumber, now float64, settings Settings) (Machine, []Effect) {
	m := Machine{Self: self, settings: settings, awaitDeadline: now + settings.HelloTimeoutMS}
	return m, []Effect{{Action: ActionFindPredecessor}}
}

// Phase returns the phase of the process.
func (m *Machine) Phase() Phase { return m.phase }

// Share returns the share of the router's limits that the process may use.
func (m *Machine) Share() Share { return m.share }

// Predecessor returns the process whose state is requested or whose state was restored, or NoProcess.
func (m *Machine) Predecessor() ProcessNumber { return m.predecessor }

// Successor returns the process that was sent this one's state, or NoProcess.
func (m *Machine) Successor() ProcessNumber { return m.successor }

// Ready reports whether the process tells operators that it serves.
func (m *Machine) Ready() bool { return m.phase == PhaseServing || m.phase == PhaseDegraded }

// Accepts reports whether the process accepts clients.
func (m *Machine) Accepts() bool { return m.Ready() || m.phase == PhaseDraining }

// IDGranter returns the process whose consent is needed to begin work that must not run twice, or NoProcess, and
// whether such work may begin at all. Before a predecessor has sent its go-ahead it needs no grant: on the same link,
// what it says about its ids arrives before its go-ahead. Afterwards both have open sessions, and each needs the
// other's grant.
func (m *Machine) IDGranter() (granter ProcessNumber, allowed bool) {
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

// Due returns when Step needs an EventTick; +Inf for never.
func (m *Machine) Due() float64 {
	due := math.Inf(1)
	if m.phase == PhaseEnded {
		return due // Step ignores events from now on: a timer that is armed would be due for ever
	}
	if m.nextHelloAt > 0 {
		due = m.nextHelloAt
	}
	if m.phase == PhaseAwaitingState || m.phase == PhaseAwaitingGoAhead {
		due = min(due, m.awaitDeadline)
	}
	return due
}

// Step handles one event at the time now, in milliseconds, and returns the effects to carry out. An event that does not
// fit the phase, such as a message that arrives late or twice, changes nothing.
func (m *Machine) Step(now float64, event Event) []Effect {
	if m.phase == PhaseEnded {
		return nil
	}
	t := transition{Machine: m, now: now}
	t.handle(event)
	return t.effects
}
