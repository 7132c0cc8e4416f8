package hotrestart

// What the machine does at each event, by where it stands.

// step is one call of Step.
type step struct {
	*Machine
	now float64
	out []Effect
}

func (s *step) do(e Effect) { s.out = append(s.out, e) }
func (s *step) send(to ProcessNumber, what MessageKind) {
	s.do(Effect{Action: ActionSend, Process: to, Message: what})
}

func (s *step) to(p Phase) { s.phase = p }

func (s *step) bound(share Share) {
	if s.share != share {
		s.share = share
		s.do(Effect{Action: ActionSetShare, Share: share})
	}
}

// accept begins to serve.
func (s *step) accept() {
	s.to(PhaseServing)
	s.hasAccepted = true
	s.do(Effect{Action: ActionStartAccepting})
}

// ask has the newest living process before this one looked for, now and again.
func (s *step) ask() {
	s.nextHelloAt = s.now + s.settings.HelloInterval
	s.do(Effect{Action: ActionFindPredecessor})
}

// alone goes by the whole bounds once nobody else is there.
func (s *step) alone() {
	if s.predecessor == NoProcess && s.successor == NoProcess && s.hasAccepted && s.stateKnown {
		s.bound(ShareFull)
	}
}

// asks tells whether the elder's state is still awaited.
func (s *step) asks() bool {
	return s.phase == PhaseFindingPredecessor || s.phase == PhaseAwaitingState || s.phase == PhaseDegraded ||
		!s.goAheadReceived && s.predecessor != NoProcess && (s.phase == PhaseAwaitingGoAhead || s.phase == PhaseServing)
}

func (s *step) looked(p ProcessNumber) {
	if !s.asks() {
		s.nextHelloAt = 0
		return
	}
	if p < s.predecessor {
		s.nextHelloAt = s.now + s.settings.HelloInterval // it has ended; what it sent, and word of its end, are on their way
		return
	}
	if p == NoProcess {
		s.nobody()
		return
	}
	if s.phase == PhaseAwaitingGoAhead || s.phase == PhaseServing {
		if p != s.predecessor {
			return // the elder's end is still on its way
		}
	} else if p != s.predecessor {
		s.predecessor, s.helloPending = p, false
	}
	if s.phase == PhaseFindingPredecessor {
		s.to(PhaseAwaitingState)
	}
	s.nextHelloAt = s.now + s.settings.HelloInterval
	if !s.helloPending { // one that is slow would else answer many in the end
		s.helloPending = true
		s.send(p, MessageHello)
	}
}

// nobody goes on where no elder lives.
func (s *step) nobody() {
	s.predecessor, s.nextHelloAt, s.stateKnown = NoProcess, 0, true
	switch s.phase {
	case PhaseFindingPredecessor, PhaseAwaitingState, PhaseAwaitingGoAhead:
		s.bound(ShareFull)
		s.accept()
	case PhaseDegraded:
		s.to(PhaseServing)
	}
	s.alone()
}

func (s *step) tick() {
	switch {
	case s.now < s.awaitDeadline:
	case s.phase == PhaseAwaitingState:
		s.bound(ShareReserve)
		s.to(PhaseDegraded)
		s.hasAccepted = true
		s.do(Effect{Action: ActionStartAccepting})
	case s.phase == PhaseAwaitingGoAhead:
		// The elder has gone to its half and has told all ids ahead; it reads that it is to yield when it reads on.
		s.accept()
	}
	if s.nextHelloAt > 0 && s.now >= s.nextHelloAt {
		if s.nextHelloAt = 0; s.asks() {
			s.ask()
		}
	}
}

func (s *step) received(p ProcessNumber, what MessageKind) {
	switch what {
	case MessageHello:
		s.hello(p)
	case MessageWait:
		s.helloPending = s.helloPending && p != s.predecessor
		if p == s.predecessor && s.phase == PhaseAwaitingState {
			s.awaitDeadline = max(s.awaitDeadline, s.now+s.settings.SilenceTimeout) // it lives and has its reasons
		}
	case MessageState:
		s.state(p)
	case MessageReady:
		s.ready(p)
	case MessageGoAhead:
		if p == s.predecessor && (s.phase == PhaseAwaitingGoAhead || s.phase == PhaseServing) {
			s.goAheadReceived, s.nextHelloAt = true, 0
			if s.phase == PhaseAwaitingGoAhead {
				s.accept()
			}
		}
	case MessageHandBack:
		if p == s.successor && s.phase == PhaseSuperseded && !s.handedBack {
			s.handedBack = true
			s.accept()
			s.send(p, MessageReady)
		}
	}
}

// hello answers a newer process that asks.
func (s *step) hello(p ProcessNumber) {
	serves := (s.phase == PhaseServing || s.phase == PhaseDraining) && s.stateKnown
	hears := s.successor == p && (s.phase == PhaseSuperseded || s.phase == PhaseFinishing) // it lost the link, and with it what was on its way
	if !hears && (!serves || s.predecessor != NoProcess || s.handedBack || s.successor != NoProcess && s.successor != p) {
		s.send(p, MessageWait)
		return
	}
	s.successor = p
	s.bound(ShareHalf)
	s.send(p, MessageState)
}

// state goes on from the elder's state.
func (s *step) state(p ProcessNumber) {
	if p != s.predecessor || s.goAheadReceived {
		return
	}
	s.helloPending = false
	switch s.phase {
	case PhaseAwaitingState:
		s.to(PhaseAwaitingGoAhead)
		s.awaitDeadline = max(s.awaitDeadline, s.now+s.settings.GoAheadTimeout)
	case PhaseDegraded:
		s.to(PhaseServing)
	case PhaseAwaitingGoAhead, PhaseServing: // the link broke in between
	case PhaseDraining: // too late to take its place, but not to know what it knew
		s.stateKnown = true
		s.do(Effect{Action: ActionRestoreState})
		return
	default:
		return
	}
	s.stateKnown = true
	s.do(Effect{Action: ActionRestoreState})
	s.bound(ShareHalf)
	s.send(p, MessageReady)
}

// ready gives way: to the newer process, or back to the elder where this one is told to end.
func (s *step) ready(p ProcessNumber) {
	switch {
	case p == s.successor && !s.handedBack && (s.phase == PhaseServing || s.phase == PhaseDraining):
		s.do(Effect{Action: ActionStopAccepting})
		s.to(PhaseSuperseded)
		if s.stopRequested {
			s.to(PhaseFinishing)
			s.do(Effect{Action: ActionFinish})
		}
	case p == s.successor && !s.handedBack && (s.phase == PhaseSuperseded || s.phase == PhaseFinishing):
	case p == s.predecessor && p != NoProcess && s.phase == PhaseDraining:
		s.do(Effect{Action: ActionStopAccepting})
		s.to(PhaseFinishing)
		s.do(Effect{Action: ActionFinish})
	default:
		return
	}
	s.send(p, MessageGoAhead)
}

// cut goes on after a link that broke though the process at its other end lives.
func (s *step) cut(p ProcessNumber) {
	if p == s.predecessor && p != NoProcess && s.asks() {
		s.helloPending = false
		s.nextHelloAt = s.now + s.settings.HelloInterval // an elder that hangs at its end would be asked without a pause
	}
}

// gone goes on after a process that ended.
func (s *step) gone(p ProcessNumber) {
	if p == NoProcess {
		return
	}
	if p == s.predecessor {
		s.predecessor, s.goAheadReceived, s.helloPending = NoProcess, false, false
		switch s.phase {
		case PhaseAwaitingState:
			s.to(PhaseFindingPredecessor)
			s.ask()
		case PhaseDegraded:
			s.ask()
		case PhaseAwaitingGoAhead:
			s.nextHelloAt = 0
			s.accept()
		default:
			s.nextHelloAt = 0
		}
		if s.phase != PhaseDegraded {
			s.alone()
		}
	}
	if p == s.successor {
		s.successor = NoProcess
		switch s.phase {
		case PhaseSuperseded:
			s.accept()
		case PhaseFinishing:
			s.to(PhaseDraining)
			s.do(Effect{Action: ActionStartAccepting})
			s.do(Effect{Action: ActionDrain})
		}
		s.handedBack = false
		s.alone()
	}
}

func (s *step) stopped() {
	if s.stopRequested {
		return
	}
	s.stopRequested = true
	switch s.phase {
	case PhaseFindingPredecessor, PhaseAwaitingState, PhaseAwaitingGoAhead: // nothing was accepted; an elder that yielded hears of the end, and accepts again
		s.to(PhaseEnded)
		s.do(Effect{Action: ActionEnd})
	case PhaseSuperseded:
		s.to(PhaseFinishing)
		s.do(Effect{Action: ActionFinish})
	case PhaseServing, PhaseDegraded:
		if s.predecessor != NoProcess && s.phase == PhaseServing {
			s.send(s.predecessor, MessageHandBack) // taken back: where the elder is not told to end too, it accepts again
		}
		s.nextHelloAt = 0
		s.to(PhaseDraining)
		s.do(Effect{Action: ActionDrain})
	}
}
