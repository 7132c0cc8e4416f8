package hotrestart

// The conditions on the machine's state that transitions depend on.

// needsPredecessorState reports whether the predecessor's state is still to be requested.
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

// maySendStateTo reports whether a process that requests the state may have it now.
func (m *Machine) maySendStateTo(from ProcessNumber) bool {
	if from == m.successor && (m.phase == PhaseSuperseded || m.phase == PhaseFinishing) {
		return true // its link broke, and the messages under way were lost
	}
	isOnlySuccessor := m.successor == NoProcess || m.successor == from
	return m.acceptsInFull() && m.stateKnown && m.predecessor == NoProcess && !m.handedBack && isOnlySuccessor
}

// acceptsInFull reports whether the process accepts clients without the bounds of the degraded phase.
func (m *Machine) acceptsInFull() bool {
	return m.phase == PhaseServing || m.phase == PhaseDraining
}

// endsWhenIdle reports whether the process was requested to end and ends once nothing is open.
func (m *Machine) endsWhenIdle() bool {
	return m.phase == PhaseFinishing || m.phase == PhaseDraining
}
