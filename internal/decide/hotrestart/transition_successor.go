package hotrestart

// Transitions caused by the successor.

// answerHello sends this process's state to a successor that requests it, or tells the successor to wait.
func (t *transition) answerHello(from ProcessNumber) {
	if !t.maySendStateTo(from) {
		t.send(from, MessageWait)
		return
	}
	t.successor = from
	t.setShare(ShareHalf)
	t.send(from, MessageState)
}

// readyReceived stops accepting clients, either in favor of the successor or, if this process was requested to end, in
// favor of the predecessor.
func (t *transition) readyReceived(from ProcessNumber) {
	switch {
	case from == t.successor && !t.handedBack && t.acceptsInFull():
		t.yieldToSuccessor()
	case from == t.successor && !t.handedBack && (t.phase == PhaseSuperseded || t.phase == PhaseFinishing):
		// The successor repeats its request because the link broke.
	case from == t.predecessor && from != NoProcess && t.phase == PhaseDraining:
		t.emit(Effect{Action: ActionStopAccepting})
		t.finish()
	default:
		return
	}
	t.send(from, MessageGoAhead)
}

func (t *transition) yieldToSuccessor() {
	t.emit(Effect{Action: ActionStopAccepting})
	t.phase = PhaseSuperseded
	if t.stopRequested {
		t.finish()
	}
}

// acceptAgain resumes accepting clients in place of a successor that was requested to end.
func (t *transition) acceptAgain(from ProcessNumber) {
	if from != t.successor || t.phase != PhaseSuperseded || t.handedBack {
		return
	}
	t.handedBack = true
	t.serve(PhaseServing)
	t.send(from, MessageReady)
}

// successorEnded continues after the end of the successor.
func (t *transition) successorEnded() {
	t.successor = NoProcess
	switch t.phase {
	case PhaseSuperseded:
		t.serve(PhaseServing)
	case PhaseFinishing:
		t.emit(Effect{Action: ActionStartAccepting})
		t.drain()
	case PhaseFindingPredecessor, PhaseAwaitingState, PhaseAwaitingGoAhead, PhaseServing, PhaseDegraded, PhaseDraining,
		PhaseEnded:
	}
	t.handedBack = false
	t.useFullShareIfAlone()
}
