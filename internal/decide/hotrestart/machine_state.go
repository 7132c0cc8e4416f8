package hotrestart

// The questions that transitions ask of the machine's state.

// asksPredecessor reports whether the predecessor's state is still to be asked for.
func (m *Machine) asksPredecessor() bool {
	switch m.phase {
	case PhaseFindingPredecessor, PhaseAwaitingState, PhaseDegraded:
		return true
	case PhaseAwaitingGoAhead, PhaseServing:
		return !m.goAheadReceived && m.predecessor != NoProcess
	case PhaseSuperseded, PhaseFinishing, PhaseDraining, PhaseEnded:
	}
	return false
}

// givesStateTo reports whether a process that asks may have the state now.
func (m *Machine) givesStateTo(from ProcessNumber) bool {
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

// endsWhenIdle reports whether the process was asked to end and ends once nothing is open.
func (m *Machine) endsWhenIdle() bool {
	return m.phase == PhaseFinishing || m.phase == PhaseDraining
}
