package hotrestart

// visitor is called with each state that may follow a state, and the change that leads to it.
type visitor func(next *model, change change)

// change is what leads from one state of the model to the next.
type change struct {
	guaranteed bool // it certainly happens, after a finite time and without the adversary
	name       string
	process    int
	other      int
}

// branches visits the states that may follow one state of a model.
type branches struct {
	from  *model
	visit visitor
}

// apply visits the state to which a change leads.
func (b *branches) apply(change change, do func(next *model)) {
	next := &model{state: b.from.state, ignoreSilentPredecessor: b.from.ignoreSilentPredecessor}
	do(next)
	b.visit(next, change)
}

// guaranteed visits the result of a change that certainly happens.
func (b *branches) guaranteed(name string, process, other int, do func(next *model)) {
	b.apply(change{true, name, process, other}, do)
}

// optional visits the result of a change that may or may not happen.
func (b *branches) optional(name string, process, other int, do func(next *model)) {
	b.apply(change{false, name, process, other}, do)
}

// eachNextState visits every state that may follow the current one.
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
		// When a slot is acquired while no other process of the router lives, the folder is cleared.
		next.state.cordonInFolder = p.cordoned
		var effects []Effect
		p.machine, effects = New(numberOf(i), 0, DefaultSettings)
		p.machine.awaitDeadline = 0
		for _, effect := range effects {
			next.carryOut(i, effect)
		}
	})
}

// search lets a process find its predecessor and connects the two.
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
		// If the search shows that a process has ended, EventProcessEnded is delivered separately.
		next.step(i, Event{Kind: EventPredecessorFound, Process: found})
	})
}

func (b *branches) readCordons(i int) {
	s := &b.from.state
	if s.processes[i].cordoned == s.cordonInFolder {
		return
	}
	b.guaranteed("reads the cordons", i, 0, func(next *model) { next.state.processes[i].cordoned = s.cordonInFolder })
}

// receive delivers to process i the next message of process j or, if there is none, the end of process j or of the
// link to it.
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

// receiveTwice delivers a message of the protocol twice.
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
			next.state.queues[j][i].push(message) // late as well: after all messages sent in between
		}
	})
}

func (b *branches) abandonClaim(i, j int) {
	if b.from.state.processes[i].claims[j] {
		b.optional("gives up its claim at", i, j, func(next *model) { next.state.processes[i].claims[j] = false })
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

// timers lets each timer of a process expire, one without the other.
func (b *branches) timers(i int) {
	s := &b.from.state
	p := &s.processes[i]
	// In the model a process repeats its hello only when no message is in flight between it and its predecessor. More
	// repetitions would add states without new behavior.
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
			next.state.processes[i].machine.awaitDeadline = 1e6 // only the other timer expires this time
			next.step(i, Event{Kind: EventTick})
		})
	}
	if p.awaits() {
		b.optional("stops waiting for its predecessor", i, 0, func(next *model) { next.expireAwait(i) })
	}
}

// expireAwait ends the wait for the predecessor. The timer of the next hello keeps its value.
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
		b.optional("has no open request or session", i, 0, func(next *model) { next.step(i, Event{Kind: EventIdle}) })
	}
}

// externalInputs lets an operator set the cordon, and a client send the request.
func (b *branches) externalInputs(i int) {
	s := &b.from.state
	p := &s.processes[i]
	if s.left.cordons > 0 && p.accepts {
		b.optional("receives the cordon", i, 0, func(next *model) {
			next.state.left.cordons--
			next.state.cordonInFolder, next.state.processes[i].cordoned = true, true
		})
	}
	if s.left.requests > 0 && (p.accepts || p.machine.phase == PhaseSuperseded || p.machine.phase == PhaseFinishing) {
		b.optional("receives the request", i, 0, func(next *model) {
			next.state.left.requests--
			next.submit(i)
		})
	}
}
