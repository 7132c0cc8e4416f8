package hotrestart

// Transitions caused by the predecessor or by its absence.

// scheduleHello sets the time of the next hello to the predecessor.
func (t *transition) scheduleHello() { t.nextHelloAt = t.now + t.settings.HelloIntervalMS }

// findPredecessor looks for the newest living process that started before this one and schedules the next search.
func (t *transition) findPredecessor() {
	t.scheduleHello()
	t.emit(Effect{Action: ActionFindPredecessor})
}

// tick handles the timers that have expired.
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

// awaitTimedOut starts to serve without the state or the go-ahead that a silent predecessor did not send.
func (t *transition) awaitTimedOut() {
	switch t.phase {
	case PhaseAwaitingState:
		t.setShare(ShareReserve)
		t.serve(PhaseDegraded)
	case PhaseAwaitingGoAhead:
		// The predecessor uses only its half of the limits and has sent all its idempotency ids. When it resumes, it
		// reads MessageReady and stops accepting.
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
		t.scheduleHello() // the predecessor has ended, but its last messages and EventProcessEnded have not arrived yet
	case found == NoProcess:
		t.noPredecessor()
	default:
		t.requestState(found)
	}
}

// noPredecessor continues without a predecessor when no process that started earlier is alive.
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
			return // EventProcessEnded for the previous predecessor has not arrived yet
		}
		t.predecessor, t.helloPending = found, false
	}
	if t.phase == PhaseFindingPredecessor {
		t.phase = PhaseAwaitingState
	}
	t.scheduleHello()
	if !t.helloPending { // repeated hellos would pile up at a slow predecessor
		t.helloPending = true
		t.send(found, MessageHello)
	}
}

// waitReceived extends the deadline of a predecessor that is alive but has no state to send yet.
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
	case PhaseAwaitingGoAhead, PhaseServing: // the state was received before, and the link broke since
	case PhaseDraining: // too late to replace the predecessor, but its idempotency ids are needed
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

// handleGoAhead starts to accept clients, since the predecessor has stopped accepting.
func (t *transition) handleGoAhead(from ProcessNumber) {
	if from != t.predecessor || t.phase != PhaseAwaitingGoAhead && t.phase != PhaseServing {
		return
	}
	t.goAheadReceived, t.nextHelloAt = true, 0
	if t.phase == PhaseAwaitingGoAhead {
		t.serve(PhaseServing)
	}
}

// linkLost schedules the next hello to a living predecessor after the link to it broke. It does not call at once:
// otherwise a predecessor that hangs while it ends would be called in a busy loop.
func (t *transition) linkLost(process ProcessNumber) {
	if process == t.predecessor && process != NoProcess && t.needsPredecessorState() {
		t.helloPending = false
		t.scheduleHello()
	}
}

// predecessorEnded continues after the end of the predecessor.
func (t *transition) predecessorEnded() {
	t.predecessor, t.goAheadReceived, t.helloPending = NoProcess, false, false
	switch t.phase {
	case PhaseAwaitingState:
		t.phase = PhaseFindingPredecessor
		t.findPredecessor()
	case PhaseDegraded:
		t.findPredecessor()
		return // the share does not change until it is known that there is no other predecessor
	case PhaseAwaitingGoAhead:
		t.nextHelloAt = 0
		t.serve(PhaseServing)
	case PhaseFindingPredecessor, PhaseServing, PhaseSuperseded, PhaseFinishing, PhaseDraining, PhaseEnded:
		t.nextHelloAt = 0
	}
	t.useFullShareIfAlone()
}
