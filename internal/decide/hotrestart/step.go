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
	s.do(Effect{Do: Send, Process: to, Message: what})
}

func (s *step) to(p Phase) { s.phase = p }

func (s *step) bound(share Share) {
	if s.share != share {
		s.share = share
		s.do(Effect{Do: SetShare, Share: share})
	}
}

// accept begins to serve.
func (s *step) accept() {
	s.to(Serving)
	s.begun = true
	s.do(Effect{Do: StartAccepting})
}

// ask has the newest living process before this one looked for, now and again.
func (s *step) ask() {
	s.askAt = s.now + s.set.HelloInterval
	s.do(Effect{Do: FindPredecessor})
}

// alone goes by the whole bounds once nobody else is there.
func (s *step) alone() {
	if s.elder == None && s.newer == None && s.begun && s.known {
		s.bound(FullShare)
	}
}

// asks tells whether the elder's state is still awaited.
func (s *step) asks() bool {
	return s.phase == FindingPredecessor || s.phase == AskingPredecessor || s.phase == Degraded ||
		!s.yielded && s.elder != None && (s.phase == TakingOver || s.phase == Serving)
}

func (s *step) looked(p ProcessNumber) {
	if !s.asks() {
		s.askAt = 0
		return
	}
	if p < s.elder {
		s.askAt = s.now + s.set.HelloInterval // it has ended; what it sent, and word of its end, are on their way
		return
	}
	if p == None {
		s.nobody()
		return
	}
	if s.phase == TakingOver || s.phase == Serving {
		if p != s.elder {
			return // the elder's end is still on its way
		}
	} else if p != s.elder {
		s.elder, s.waits = p, false
	}
	if s.phase == FindingPredecessor {
		s.to(AskingPredecessor)
	}
	s.askAt = s.now + s.set.HelloInterval
	if !s.waits { // one that is slow would else answer many in the end
		s.waits = true
		s.send(p, Hello)
	}
}

// nobody goes on where no elder lives.
func (s *step) nobody() {
	s.elder, s.askAt, s.known = None, 0, true
	switch s.phase {
	case FindingPredecessor, AskingPredecessor, TakingOver:
		s.bound(FullShare)
		s.accept()
	case Degraded:
		s.to(Serving)
	}
	s.alone()
}

func (s *step) tick() {
	switch {
	case s.now < s.askBy:
	case s.phase == AskingPredecessor:
		s.bound(ReserveShare)
		s.to(Degraded)
		s.begun = true
		s.do(Effect{Do: StartAccepting})
	case s.phase == TakingOver:
		// The elder has gone to its half and has told all ids ahead; it reads that it is to yield when it reads on.
		s.accept()
	}
	if s.askAt > 0 && s.now >= s.askAt {
		if s.askAt = 0; s.asks() {
			s.ask()
		}
	}
}

func (s *step) received(p ProcessNumber, what MessageKind) {
	switch what {
	case Hello:
		s.hello(p)
	case Wait:
		s.waits = s.waits && p != s.elder
		if p == s.elder && s.phase == AskingPredecessor {
			s.askBy = max(s.askBy, s.now+s.set.SilenceTimeout) // it lives and has its reasons
		}
	case State:
		s.state(p)
	case Ready:
		s.ready(p)
	case GoAhead:
		if p == s.elder && (s.phase == TakingOver || s.phase == Serving) {
			s.yielded, s.askAt = true, 0
			if s.phase == TakingOver {
				s.accept()
			}
		}
	case Back:
		if p == s.newer && s.phase == Superseded && !s.back {
			s.back = true
			s.accept()
			s.send(p, Ready)
		}
	}
}

// hello answers a newer process that asks.
func (s *step) hello(p ProcessNumber) {
	serves := (s.phase == Serving || s.phase == Draining) && s.known
	hears := s.newer == p && (s.phase == Superseded || s.phase == Leaving) // it lost the link, and with it what was on its way
	if !hears && (!serves || s.elder != None || s.back || s.newer != None && s.newer != p) {
		s.send(p, Wait)
		return
	}
	s.newer = p
	s.bound(HalfShare)
	s.send(p, State)
}

// state goes on from the elder's state.
func (s *step) state(p ProcessNumber) {
	if p != s.elder || s.yielded {
		return
	}
	s.waits = false
	switch s.phase {
	case AskingPredecessor:
		s.to(TakingOver)
		s.askBy = max(s.askBy, s.now+s.set.GoAheadTimeout)
	case Degraded:
		s.to(Serving)
	case TakingOver, Serving: // the link broke in between
	case Draining: // too late to take its place, but not to know what it knew
		s.known = true
		s.do(Effect{Do: RestoreState})
		return
	default:
		return
	}
	s.known = true
	s.do(Effect{Do: RestoreState})
	s.bound(HalfShare)
	s.send(p, Ready)
}

// ready gives way: to the newer process, or back to the elder where this one is told to end.
func (s *step) ready(p ProcessNumber) {
	switch {
	case p == s.newer && !s.back && (s.phase == Serving || s.phase == Draining):
		s.do(Effect{Do: StopAccepting})
		s.to(Superseded)
		if s.stop {
			s.to(Leaving)
			s.do(Effect{Do: Leave})
		}
	case p == s.newer && !s.back && (s.phase == Superseded || s.phase == Leaving):
	case p == s.elder && p != None && s.phase == Draining:
		s.do(Effect{Do: StopAccepting})
		s.to(Leaving)
		s.do(Effect{Do: Leave})
	default:
		return
	}
	s.send(p, GoAhead)
}

// cut goes on after a link that broke though the process at its other end lives.
func (s *step) cut(p ProcessNumber) {
	if p == s.elder && p != None && s.asks() {
		s.waits = false
		s.askAt = s.now + s.set.HelloInterval // an elder that hangs at its end would be asked without a pause
	}
}

// gone goes on after a process that ended.
func (s *step) gone(p ProcessNumber) {
	if p == None {
		return
	}
	if p == s.elder {
		s.elder, s.yielded, s.waits = None, false, false
		switch s.phase {
		case AskingPredecessor:
			s.to(FindingPredecessor)
			s.ask()
		case Degraded:
			s.ask()
		case TakingOver:
			s.askAt = 0
			s.accept()
		default:
			s.askAt = 0
		}
		if s.phase != Degraded {
			s.alone()
		}
	}
	if p == s.newer {
		s.newer = None
		switch s.phase {
		case Superseded:
			s.accept()
		case Leaving:
			s.to(Draining)
			s.do(Effect{Do: StartAccepting})
			s.do(Effect{Do: Drain})
		}
		s.back = false
		s.alone()
	}
}

func (s *step) stopped() {
	if s.stop {
		return
	}
	s.stop = true
	switch s.phase {
	case FindingPredecessor, AskingPredecessor, TakingOver: // nothing was accepted; an elder that yielded hears of the end, and accepts again
		s.to(Ended)
		s.do(Effect{Do: End})
	case Superseded:
		s.to(Leaving)
		s.do(Effect{Do: Leave})
	case Serving, Degraded:
		if s.elder != None && s.phase == Serving {
			s.send(s.elder, Back) // taken back: where the elder is not told to end too, it accepts again
		}
		s.askAt = 0
		s.to(Draining)
		s.do(Effect{Do: Drain})
	}
}
