package hotrestart

// transition is one step of a machine. It collects the effects of the step.
type transition struct {
	*Machine
	now     float64
	effects []Effect
}

func (t *transition) handle(event Event) {
	switch event.Kind {
	case EventTick:
		t.tick()
	case EventPredecessorFound:
		t.predecessorFound(event.Process)
	case EventMessageReceived:
		t.messageReceived(event.Process, event.Message)
	case EventLinkLost:
		t.linkLost(event.Process)
	case EventProcessEnded:
		t.processEnded(event.Process)
	case EventStopRequested:
		t.requestStop()
	case EventIdle:
		if t.endsWhenIdle() {
			t.end()
		}
	}
}

func (t *transition) messageReceived(from ProcessNumber, message MessageKind) {
	switch message {
	case MessageHello:
		t.answerHello(from)
	case MessageWait:
		t.waitReceived(from)
	case MessageState:
		t.stateReceived(from)
	case MessageReady:
		t.readyReceived(from)
	case MessageGoAhead:
		t.handleGoAhead(from)
	case MessageHandBack:
		t.acceptAgain(from)
	}
}

// processEnded handles the end of the predecessor or the successor.
func (t *transition) processEnded(process ProcessNumber) {
	if process == NoProcess {
		return
	}
	if process == t.predecessor {
		t.predecessorEnded()
	}
	if process == t.successor {
		t.successorEnded()
	}
}

// requestStop starts the shutdown of this process.
func (t *transition) requestStop() {
	if t.stopRequested {
		return
	}
	t.stopRequested = true
	switch t.phase {
	case PhaseFindingPredecessor, PhaseAwaitingState, PhaseAwaitingGoAhead:
		t.end() // no client was accepted; a predecessor that sent its go-ahead notices the end and accepts again
	case PhaseSuperseded:
		t.finish()
	case PhaseServing, PhaseDegraded:
		if t.predecessor != NoProcess && t.phase == PhaseServing {
			t.send(t.predecessor, MessageHandBack) // the predecessor accepts again unless it also has to end
		}
		t.nextHelloAt = 0
		t.drain()
	case PhaseFinishing, PhaseDraining, PhaseEnded:
	}
}

// useFullShareIfAlone raises the share to the full limits when no other process is left.
func (t *transition) useFullShareIfAlone() {
	if t.predecessor == NoProcess && t.successor == NoProcess && t.hasAccepted && t.stateKnown {
		t.setShare(ShareFull)
	}
}

func (t *transition) emit(effect Effect) { t.effects = append(t.effects, effect) }

func (t *transition) send(to ProcessNumber, message MessageKind) {
	t.emit(Effect{Action: ActionSend, Process: to, Message: message})
}

func (t *transition) setShare(share Share) {
	if t.share != share {
		t.share = share
		t.emit(Effect{Action: ActionSetShare, Share: share})
	}
}

// serve enters a phase in which the process accepts clients.
func (t *transition) serve(phase Phase) {
	t.phase = phase
	t.hasAccepted = true
	t.emit(Effect{Action: ActionStartAccepting})
}

func (t *transition) finish() {
	t.phase = PhaseFinishing
	t.emit(Effect{Action: ActionFinish})
}

func (t *transition) drain() {
	t.phase = PhaseDraining
	t.emit(Effect{Action: ActionDrain})
}

func (t *transition) end() {
	t.phase = PhaseEnded
	t.emit(Effect{Action: ActionEnd})
}
