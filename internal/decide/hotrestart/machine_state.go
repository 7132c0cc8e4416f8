package hotrestart

// Conditions on the state of the machine that decide which transitions apply.

// needsPredecessorState reports whether the predecessor's state still has to be requested.
func (m *Machine) needsPredecessorState() bool {
	switch m.phase {
	case PhaseFindingPredecessor, PhaseAwaitingState, PhaseDegraded:
		return true
	case PhaseAwaitingGoAhead, PhaseServing:
		return !m.goAheadReceived && m.predecessor != NoProcess
	case PhaseSuperseded, PhaseFinishing, PhaseDraining, PhaseEnded:
	}
	return false
}

// maySendStateTo reports whether this process may send its state now to a process that requests it.
func (m *Machine) maySendStateTo(from ProcessNumber) bool {
	if from == m.successor && (m.phase == PhaseSuperseded || m.phase == PhaseFinishing) {
		return true // the link broke, and the messages in flight were lost
	}
	isOnlySuccessor := m.successor == NoProcess || m.successor == from
	return m.acceptsInFull() && m.stateKnown && m.predecessor == NoProcess && !m.handedBack && isOnlySuccessor
}

// acceptsInFull reports whether the process accepts clients without the limits of the degraded phase.
func (m *Machine) acceptsInFull() bool {
	return m.phase == PhaseServing || m.phase == PhaseDraining
}

// endsWhenIdle reports whether the process was requested to end and ends when no request or session is open.
func (m *Machine) endsWhenIdle() bool {
	return m.phase == PhaseFinishing || m.phase == PhaseDraining
}
