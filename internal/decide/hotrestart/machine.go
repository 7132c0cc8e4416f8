package hotrestart

import "math"

// Settings holds the timeouts of the machine, in milliseconds.
type Settings struct {
	// HelloTimeoutMS is how long after its start a process waits for the state of a living predecessor before it
	// serves without that state. The platform expects a process to be ready within 6 s.
	HelloTimeoutMS float64
	// SilenceTimeoutMS is how long a predecessor may be silent after it has answered MessageWait before it counts as
	// hanging.
	SilenceTimeoutMS float64
	// HelloIntervalMS is the interval at which the predecessor is looked for and sent MessageHello.
	HelloIntervalMS float64
	// GoAheadTimeoutMS is the minimum time that a predecessor is given to stop accepting.
	GoAheadTimeoutMS float64
}

// DefaultSettings are the settings used in production.
var DefaultSettings = Settings{
	HelloTimeoutMS:   5400,
	SilenceTimeoutMS: 3000,
	HelloIntervalMS:  150,
	GoAheadTimeoutMS: 500,
}

// Machine is the state machine of one process. It is a plain value: a copy is an independent machine in the same
// state. All times are in milliseconds of the caller's clock.
type Machine struct {
	Self     ProcessNumber
	settings Settings
	phase    Phase
	share    Share

	// predecessor is the process from which state is requested or was restored; NoProcess after it has ended.
	predecessor ProcessNumber
	// successor is the process to which this process has sent its state.
	successor ProcessNumber
	// goAheadReceived is set when the predecessor has stopped accepting.
	goAheadReceived bool
	// handedBack is set when the successor was requested to end and this process accepts again in its place.
	handedBack bool
	// stateKnown is set when the predecessor's state has been restored or there is no predecessor. From then on this
	// process knows which idempotency ids may have run.
	stateKnown bool
	// stopRequested is set when this process was requested to end.
	stopRequested bool
	// helloPending is set while a hello has not been answered.
	helloPending bool
	// hasAccepted is set when this process has accepted clients at any time.
	hasAccepted bool
	// awaitDeadline is when the wait for the predecessor's state or go-ahead ends.
	awaitDeadline float64
	// nextHelloAt is when the predecessor is looked for and called again; 0 for never.
	nextHelloAt float64
}

// New returns the machine of a process that has just acquired its number, and the first effects to carry out.
func New(self ProcessNumber, now float64, settings Settings) (Machine, []Effect) {
	m := Machine{Self: self, settings: settings, awaitDeadline: now + settings.HelloTimeoutMS}
	return m, []Effect{{Action: ActionFindPredecessor}}
}

// Phase returns the current phase of the process.
func (m *Machine) Phase() Phase { return m.phase }

// Share returns the share of the router's limits that the process may use.
func (m *Machine) Share() Share { return m.share }

// Predecessor returns the process from which state is requested or was restored, or NoProcess.
func (m *Machine) Predecessor() ProcessNumber { return m.predecessor }

// Successor returns the process to which this one has sent its state, or NoProcess.
func (m *Machine) Successor() ProcessNumber { return m.successor }

// Ready reports whether the process is ready, as reported to operators.
func (m *Machine) Ready() bool { return m.phase == PhaseServing || m.phase == PhaseDegraded }

// Accepts reports whether the process accepts clients.
func (m *Machine) Accepts() bool { return m.Ready() || m.phase == PhaseDraining }

// IDGranter returns the process whose consent is needed to start work that must not run twice, or NoProcess if none is
// needed, and whether such work may start at all. A predecessor needs no grant before it has sent its go-ahead, since
// its messages about idempotency ids arrive on the same link before the go-ahead. After the go-ahead both processes
// have open sessions, and each needs the other's grant.
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

// Due returns when Step has to be called with EventTick; +Inf for never.
func (m *Machine) Due() float64 {
	due := math.Inf(1)
	if m.phase == PhaseEnded {
		return due // Step ignores events from now on, so an armed timer would stay due forever
	}
	if m.nextHelloAt > 0 {
		due = m.nextHelloAt
	}
	if m.phase == PhaseAwaitingState || m.phase == PhaseAwaitingGoAhead {
		due = min(due, m.awaitDeadline)
	}
	return due
}

// Step handles one event at the time now, in milliseconds, and returns the effects to carry out. An event that does
// not fit the phase, such as a late or duplicate message, changes nothing.
func (m *Machine) Step(now float64, event Event) []Effect {
	if m.phase == PhaseEnded {
		return nil
	}
	t := transition{Machine: m, now: now}
	t.handle(event)
	return t.effects
}
