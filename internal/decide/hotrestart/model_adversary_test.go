package hotrestart

// visitor is called with each world that may follow another.
type visitor func(next *model, change change)

// change is what leads from one world to the next.
type change struct {
	guaranteed bool // it happens soon by itself
	name       string
	process    int
	other      int
}

// branches visits the worlds that may follow one of a model.
type branches struct {
	from  *model
	visit visitor
}

// try visits the world that a change leads to.
func (b *branches) apply(change change, do func(next *model)) {
	next := &model{state: b.from.state, ignoreSilentPredecessor: b.from.ignoreSilentPredecessor}
	do(next)
	b.visit(next, change)
}

// prompt visits what must happen soon by itself.
func (b *branches) guaranteed(name string, process, other int, do func(next *model)) {
	b.apply(change{true, name, process, other}, do)
}

// maybe visits what may or may not happen.
func (b *branches) optional(name string, process, other int, do func(next *model)) {
	b.apply(change{false, name, process, other}, do)
}

// each visits every world that may follow.
func (x *model) eachNextState(visit visitor) {
	b := &branches{from: x, visit: visit}
	for i := range modelProcesses {
		if !x.state.processes[i].alive {
			b.start(i)
			continue
		}
		b.search(i)
		b.readCordons(i)
		for j := range modelProcesses {
			b.receive(i, j)
			b.abandonClaim(i, j)
			b.loseLink(i, j)
		}
		b.timers(i)
		b.endings(i)
		b.externalInputs(i)
	}
}

// start starts the processes in their order, each once.
func (b *branches) start(i int) {
	s := &b.from.state
	isNext := s.processes[i].machine.Self == NoProcess && (i == 0 || s.processes[i-1].machine.Self != NoProcess)
	if s.left.starts == 0 || !isNext {
		return
	}
	b.optional("starts", i, 0, func(next *model) {
		next.state.left.starts--
		p := &next.state.processes[i]
		p.alive = true
		p.cordoned = next.othersLive(i) && s.cordonInFolder
		// The folder of a router without a living process is cleared as the slot is acquired.
		next.state.cordonInFolder = p.cordoned
		var effects []Effect
		p.machine, effects = New(numberOf(i), 0, DefaultSettings)
		p.machine.awaitDeadline = 0
		for _, effect := range effects {
			next.carryOut(i, effect)
		}
	})
}

// search lets a process find its predecessor, and links the two.
func (b *branches) search(i int) {
	s := &b.from.state
	if !s.processes[i].searching {
		return
	}
	b.guaranteed("finds its predecessor", i, 0, func(next *model) {
		next.state.processes[i].searching = false
		found := NoProcess
		for j := i - 1; j >= 0 && found == NoProcess; j-- {
			if !s.processes[j].alive {
				continue
			}
			found = numberOf(j)
			if !s.processes[i].linked[j] {
				next.state.processes[i].linked[j], next.state.processes[j].linked[i] = true, true
				next.state.processes[i].linkBroken = false
			}
		}
		// An end that the search shows is noticed as well, as EventProcessEnded.
		next.step(i, Event{Kind: EventPredecessorFound, Process: found})
	})
}

func (b *branches) readCordons(i int) {
	s := &b.from.state
	if s.processes[i].cordoned == s.cordonInFolder {
		return
	}
	b.guaranteed("reads the folder", i, 0, func(next *model) { next.state.processes[i].cordoned = s.cordonInFolder })
}

// receive lets process i receive what process j has sent: a message, or else that its end or the link's was noticed.
func (b *branches) receive(i, j int) {
	s := &b.from.state
	p := &s.processes[i]
	switch {
	case s.queues[j][i].length > 0 && p.linked[j]:
		b.guaranteed("receives from", i, j, func(next *model) { next.deliver(j, i) })
		b.receiveTwice(i, j)
	case p.ended[j]:
		b.guaranteed("notices the end of", i, j, func(next *model) {
			q := &next.state.processes[i]
			q.ended[j], q.linked[j], q.linkLost[j], q.claims[j] = false, false, false, false
			next.step(i, Event{Kind: EventProcessEnded, Process: numberOf(j)})
		})
	case p.linkLost[j]:
		b.guaranteed("notices the lost link to", i, j, func(next *model) {
			next.state.processes[i].linkLost[j], next.state.processes[i].claims[j] = false, false
			next.step(i, Event{Kind: EventLinkLost, Process: numberOf(j)})
		})
	}
}

// receiveTwice duplicates a message of the protocol.
func (b *branches) receiveTwice(i, j int) {
	s := &b.from.state
	message := s.queues[j][i].messages[0]
	if s.left.duplicates == 0 || message&^idInState > lastProtocolMessage {
		return
	}
	b.optional("receives twice from", i, j, func(next *model) {
		next.state.left.duplicates--
		next.deliver(j, i)
		if next.state.processes[i].alive && next.state.processes[j].alive {
			next.state.queues[j][i].push(message) // late as well: it arrives after all that was sent since
		}
	})
}

func (b *branches) abandonClaim(i, j int) {
	if b.from.state.processes[i].claims[j] {
		b.optional("abandons its claim at", i, j, func(next *model) { next.state.processes[i].claims[j] = false })
	}
}

func (b *branches) loseLink(i, j int) {
	s := &b.from.state
	if j >= i || !s.processes[i].linked[j] || !s.processes[j].alive || s.left.linkLosses == 0 {
		return
	}
	b.optional("loses the link to", i, j, func(next *model) {
		next.state.left.linkLosses--
		next.state.queues[i][j], next.state.queues[j][i] = messageQueue{}, messageQueue{}
		p, q := &next.state.processes[i], &next.state.processes[j]
		p.linked[j], q.linked[i] = false, false
		p.linkLost[j], q.linkLost[i] = true, true
		p.linkBroken, q.linkBroken = true, true
	})
}

// timers lets the timers of a process run out, each without the other.
func (b *branches) timers(i int) {
	s := &b.from.state
	p := &s.processes[i]
	// A process repeats its request; it is enough to let it do so when no such request is under way.
	idle := true
	if predecessor := p.machine.predecessor; predecessor != NoProcess {
		j := indexOf(predecessor)
		idle = s.queues[i][j].length == 0 && s.queues[j][i].length == 0
	}
	due := p.awaits() || p.machine.Due() < 1e300 && idle
	if p.searching || !due {
		return
	}
	if p.machine.nextHelloAt > 0 && idle {
		b.optional("repeats its hello", i, 0, func(next *model) {
			next.state.processes[i].machine.awaitDeadline = 1e6 // this time only the other timer runs out
			next.step(i, Event{Kind: EventTick})
		})
	}
	if p.awaits() {
		b.optional("has waited long", i, 0, func(next *model) { next.expireAwait(i) })
	}
}

// awaitRunsOut ends the wait for the predecessor; the timer of the next hello stays as it is.
func (x *model) expireAwait(i int) {
	p := &x.state.processes[i]
	nextHelloAt := p.machine.nextHelloAt
	p.machine.nextHelloAt, p.machine.awaitDeadline = 0, 1
	x.step(i, Event{Kind: EventTick})
	if p.alive && p.machine.nextHelloAt == 0 {
		p.machine.nextHelloAt = nextHelloAt
	}
}

func (b *branches) endings(i int) {
	s := &b.from.state
	p := &s.processes[i]
	if s.left.kills > 0 {
		b.optional("is killed", i, 0, func(next *model) {
			next.state.left.kills--
			next.state.idRecordLost = true
			next.end(i)
		})
	}
	if s.left.stops > 0 && !p.machine.stopRequested {
		b.optional("is requested to end", i, 0, func(next *model) {
			next.state.left.stops--
			next.step(i, Event{Kind: EventStopRequested})
		})
	}
	if p.machine.phase == PhaseFinishing || p.machine.phase == PhaseDraining {
		b.optional("has nothing open", i, 0, func(next *model) { next.step(i, Event{Kind: EventIdle}) })
	}
}

// clients lets an operator set the cordon, and a client send the request.
func (b *branches) externalInputs(i int) {
	s := &b.from.state
	p := &s.processes[i]
	if s.left.cordons > 0 && p.accepts {
		b.optional("gets the cordon", i, 0, func(next *model) {
			next.state.left.cordons--
			next.state.cordonInFolder, next.state.processes[i].cordoned = true, true
		})
	}
	if s.left.requests > 0 && (p.accepts || p.machine.phase == PhaseSuperseded || p.machine.phase == PhaseFinishing) {
		b.optional("gets the request", i, 0, func(next *model) {
			next.state.left.requests--
			next.submit(i)
		})
	}
}
