package hotrestart

// The transitions that concern the predecessor.

// scheduleHello arms the timer of the next question to the predecessor.
func (t *transition) scheduleHello() { t.nextHelloAt = t.now + t.settings.HelloIntervalMS }

// findPredecessor looks for the newest living process before this one, and arms the timer to do so again.
func (t *transition) findPredecessor() {
	t.scheduleHello()
	t.emit(Effect{Action: ActionFindPredecessor})
}

// tick handles the timers that have run out.
func (t *transition) tick() {
	if t.now >= t.awaitDeadline {
		t.awaitTimedOut()
	}
	if t.nextHelloAt > 0 && t.now >= t.nextHelloAt {
		t.nextHelloAt = 0
		if t.needsPredecessorState() {
			t.findPredecessor()
		}
	}
}

// awaitTimedOut serves without what a silent predecessor was to send.
func (t *transition) awaitTimedOut() {
	switch t.phase {
	case PhaseAwaitingState:
		t.setShare(ShareReserve)
		t.serve(PhaseDegraded)
	case PhaseAwaitingGoAhead:
		// The predecessor uses its half and has sent all ids; it reads that it is to stop accepting when it reads on.
		t.serve(PhaseServing)
	case PhaseFindingPredecessor, PhaseServing, PhaseDegraded, PhaseSuperseded, PhaseFinishing, PhaseDraining,
		PhaseEnded:
	}
}

// predecessorFound handles the result of a search for the predecessor.
func (t *transition) predecessorFound(found ProcessNumber) {
	switch {
	case !t.needsPredecessorState():
		t.nextHelloAt = 0
	case found < t.predecessor:
		t.scheduleHello() // the predecessor has ended; its messages and EventProcessEnded are still to come
	case found == NoProcess:
		t.noPredecessor()
	default:
		t.requestState(found)
	}
}

// noPredecessor serves where no predecessor lives.
func (t *transition) noPredecessor() {
	t.predecessor, t.nextHelloAt, t.stateKnown = NoProcess, 0, true
	switch t.phase {
	case PhaseFindingPredecessor, PhaseAwaitingState, PhaseAwaitingGoAhead:
		t.setShare(ShareFull)
		t.serve(PhaseServing)
	case PhaseDegraded:
		t.phase = PhaseServing
	case PhaseServing, PhaseSuperseded, PhaseFinishing, PhaseDraining, PhaseEnded:
	}
	t.useFullShareIfAlone()
}

// requestState requests the state of a living predecessor.
func (t *transition) requestState(found ProcessNumber) {
	if found != t.predecessor {
		if t.phase == PhaseAwaitingGoAhead || t.phase == PhaseServing {
			return // EventProcessEnded for the former predecessor is still to come
		}
		t.predecessor, t.helloPending = found, false
	}
	if t.phase == PhaseFindingPredecessor {
		t.phase = PhaseAwaitingState
	}
	t.scheduleHello()
	if !t.helloPending { // a slow predecessor would otherwise have many hellos to answer
		t.helloPending = true
		t.send(found, MessageHello)
	}
}

// waitReceived extends the time of a predecessor that lives but has no state to send yet.
func (t *transition) waitReceived(from ProcessNumber) {
	if from != t.predecessor {
		return
	}
	t.helloPending = false
	if t.phase == PhaseAwaitingState {
		t.awaitDeadline = max(t.awaitDeadline, t.now+t.settings.SilenceTimeoutMS)
	}
}

// stateReceived restores the predecessor's state.
func (t *transition) stateReceived(from ProcessNumber) {
	if from != t.predecessor || t.goAheadReceived {
		return
	}
	t.helloPending = false
	switch t.phase {
	case PhaseAwaitingState:
		t.phase = PhaseAwaitingGoAhead
		t.awaitDeadline = max(t.awaitDeadline, t.now+t.settings.GoAheadTimeoutMS)
	case PhaseDegraded:
		t.phase = PhaseServing
	case PhaseAwaitingGoAhead, PhaseServing: // the link broke in between
	case PhaseDraining: // too late to replace the predecessor, but its ids are needed
		t.restoreState()
		return
	case PhaseFindingPredecessor, PhaseSuperseded, PhaseFinishing, PhaseEnded:
		return
	}
	t.restoreState()
	t.setShare(ShareHalf)
	t.send(from, MessageReady)
}

func (t *transition) restoreState() {
	t.stateKnown = true
	t.emit(Effect{Action: ActionRestoreState})
}

// goAhead accepts clients, since the predecessor accepts no more.
func (t *transition) handleGoAhead(from ProcessNumber) {
	if from != t.predecessor || t.phase != PhaseAwaitingGoAhead && t.phase != PhaseServing {
		return
	}
	t.goAheadReceived, t.nextHelloAt = true, 0
	if t.phase == PhaseAwaitingGoAhead {
		t.serve(PhaseServing)
	}
}

// linkLost calls a living predecessor again after its link broke. It waits for the next interval: a predecessor that
// hangs at its end would otherwise be called without a pause.
func (t *transition) linkLost(process ProcessNumber) {
	if process == t.predecessor && process != NoProcess && t.needsPredecessorState() {
		t.helloPending = false
		t.scheduleHello()
	}
}

// predecessorEnded continues without the predecessor.
func (t *transition) predecessorEnded() {
	t.predecessor, t.goAheadReceived, t.helloPending = NoProcess, false, false
	switch t.phase {
	case PhaseAwaitingState:
		t.phase = PhaseFindingPredecessor
		t.findPredecessor()
	case PhaseDegraded:
		t.findPredecessor()
		return // the share stays until it is known that there is no other predecessor
	case PhaseAwaitingGoAhead:
		t.nextHelloAt = 0
		t.serve(PhaseServing)
	case PhaseFindingPredecessor, PhaseServing, PhaseSuperseded, PhaseFinishing, PhaseDraining, PhaseEnded:
		t.nextHelloAt = 0
	}
	t.useFullShareIfAlone()
}
