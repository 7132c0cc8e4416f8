package hotrestart

// What the machine does at each event, by where it stands.

// step is one call of Step.
type step struct {
	*Machine
	now float64
	out []Effect
}

func (s *step) do(e Effect)             { s.out = append(s.out, e) }
func (s *step) send(to Peer, what Kind) { s.do(Effect{Do: Send, Peer: to, Message: what}) }

func (s *step) to(p Phase) { s.phase = p }

func (s *step) bound(share Share) {
	if s.share != share {
		s.share = share
		s.do(Effect{Do: Bound, Share: share})
	}
}

// accept begins to serve.
func (s *step) accept() {
	s.to(Serving)
	s.begun = true
	s.do(Effect{Do: Accept})
}

// ask has the newest living process before this one looked for, now and again.
func (s *step) ask() {
	s.askAt = s.now + s.set.AskEvery
	s.do(Effect{Do: Look})
}

// alone goes by the whole bounds once nobody else is there.
func (s *step) alone() {
	if s.elder == None && s.newer == None && s.begun && s.known {
		s.bound(Whole)
	}
}

// asks tells whether the elder's state is still awaited.
func (s *step) asks() bool {
	return s.phase == Looking || s.phase == Asking || s.phase == Guarded ||
		!s.yielded && s.elder != None && (s.phase == Taking || s.phase == Serving)
}

func (s *step) looked(p Peer) {
	if !s.asks() {
		s.askAt = 0
		return
	}
	if p < s.elder {
		s.askAt = s.now + s.set.AskEvery // it has ended; what it sent, and word of its end, are on their way
		return
	}
	if p == None {
		s.nobody()
		return
	}
	if s.phase == Taking || s.phase == Serving {
		if p != s.elder {
			return // the elder's end is still on its way
		}
	} else if p != s.elder {
		s.elder, s.waits = p, false
	}
	if s.phase == Looking {
		s.to(Asking)
	}
	s.askAt = s.now + s.set.AskEvery
	if !s.waits { // one that is slow would else answer many in the end
		s.waits = true
		s.send(p, Hello)
	}
}

// nobody goes on where no elder lives.
func (s *step) nobody() {
	s.elder, s.askAt, s.known = None, 0, true
	switch s.phase {
	case Looking, Asking, Taking:
		s.bound(Whole)
		s.accept()
	case Guarded:
		s.to(Serving)
	}
	s.alone()
}

func (s *step) tick() {
	switch {
	case s.now < s.askBy:
	case s.phase == Asking:
		s.bound(Reserve)
		s.to(Guarded)
		s.begun = true
		s.do(Effect{Do: Accept})
	case s.phase == Taking:
		// The elder has gone to its half and has told all ids ahead; it reads that it is to yield when it reads on.
		s.accept()
	}
	if s.askAt > 0 && s.now >= s.askAt {
		if s.askAt = 0; s.asks() {
			s.ask()
		}
	}
}

func (s *step) received(p Peer, what Kind) {
	switch what {
	case Hello:
		s.hello(p)
	case Wait:
		s.waits = s.waits && p != s.elder
		if p == s.elder && s.phase == Asking {
			s.askBy = max(s.askBy, s.now+s.set.SilentFor) // it lives and has its reasons
		}
	case State:
		s.state(p)
	case Ready:
		s.ready(p)
	case GoAhead:
		if p == s.elder && (s.phase == Taking || s.phase == Serving) {
			s.yielded, s.askAt = true, 0
			if s.phase == Taking {
				s.accept()
			}
		}
	case Back:
		if p == s.newer && s.phase == Yielded && !s.back {
			s.back = true
			s.accept()
			s.send(p, Ready)
		}
	}
}

// hello answers a newer process that asks.
func (s *step) hello(p Peer) {
	serves := (s.phase == Serving || s.phase == Draining) && s.known
	hears := s.newer == p && (s.phase == Yielded || s.phase == Leaving) // it lost the link, and with it what was on its way
	if !hears && (!serves || s.elder != None || s.back || s.newer != None && s.newer != p) {
		s.send(p, Wait)
		return
	}
	s.newer = p
	s.bound(Half)
	s.send(p, State)
}

// state goes on from the elder's state.
func (s *step) state(p Peer) {
	if p != s.elder || s.yielded {
		return
	}
	s.waits = false
	switch s.phase {
	case Asking:
		s.to(Taking)
		s.askBy = max(s.askBy, s.now+s.set.GoAheadWithin)
	case Guarded:
		s.to(Serving)
	case Taking, Serving: // the link broke in between
	case Draining: // too late to take its place, but not to know what it knew
		s.known = true
		s.do(Effect{Do: TakeState})
		return
	default:
		return
	}
	s.known = true
	s.do(Effect{Do: TakeState})
	s.bound(Half)
	s.send(p, Ready)
}

// ready gives way: to the newer process, or back to the elder where this one is told to end.
func (s *step) ready(p Peer) {
	switch {
	case p == s.newer && !s.back && (s.phase == Serving || s.phase == Draining):
		s.do(Effect{Do: Yield})
		s.to(Yielded)
		if s.stop {
			s.to(Leaving)
			s.do(Effect{Do: Leave})
		}
	case p == s.newer && !s.back && (s.phase == Yielded || s.phase == Leaving):
	case p == s.elder && p != None && s.phase == Draining:
		s.do(Effect{Do: Yield})
		s.to(Leaving)
		s.do(Effect{Do: Leave})
	default:
		return
	}
	s.send(p, GoAhead)
}

// cut goes on after a link that broke though the process at its other end lives.
func (s *step) cut(p Peer) {
	if p == s.elder && p != None && s.asks() {
		s.waits = false
		s.askAt = s.now + s.set.AskEvery // an elder that hangs at its end would be asked without a pause
	}
}

// gone goes on after a process that ended.
func (s *step) gone(p Peer) {
	if p == None {
		return
	}
	if p == s.elder {
		s.elder, s.yielded, s.waits = None, false, false
		switch s.phase {
		case Asking:
			s.to(Looking)
			s.ask()
		case Guarded:
			s.ask()
		case Taking:
			s.askAt = 0
			s.accept()
		default:
			s.askAt = 0
		}
		if s.phase != Guarded {
			s.alone()
		}
	}
	if p == s.newer {
		s.newer = None
		switch s.phase {
		case Yielded:
			s.accept()
		case Leaving:
			s.to(Draining)
			s.do(Effect{Do: Accept})
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
	case Looking, Asking, Taking: // nothing was accepted; an elder that yielded hears of the end, and accepts again
		s.to(Ended)
		s.do(Effect{Do: End})
	case Yielded:
		s.to(Leaving)
		s.do(Effect{Do: Leave})
	case Serving, Guarded:
		if s.elder != None && s.phase == Serving {
			s.send(s.elder, Back) // taken back: where the elder is not told to end too, it accepts again
		}
		s.askAt = 0
		s.to(Draining)
		s.do(Effect{Do: Drain})
	}
}
