package hotrestart

// visitor is called with each world that may follow another.
type visitor func(next *model, change change)

// change is what leads from one world to the next.
type change struct {
	prompt  bool // it happens soon by itself
	name    string
	process int
	other   int
}

// branches visits the worlds that may follow one of a model.
type branches struct {
	from  *model
	visit visitor
}

// try visits the world that a change leads to.
func (b *branches) try(change change, do func(next *model)) {
	next := &model{world: b.from.world, formerFault: b.from.formerFault}
	do(next)
	b.visit(next, change)
}

// prompt visits what must happen soon by itself.
func (b *branches) prompt(name string, process, other int, do func(next *model)) {
	b.try(change{true, name, process, other}, do)
}

// maybe visits what may or may not happen.
func (b *branches) maybe(name string, process, other int, do func(next *model)) {
	b.try(change{false, name, process, other}, do)
}

// each visits every world that may follow.
func (x *model) each(visit visitor) {
	b := &branches{from: x, visit: visit}
	for i := range modelProcesses {
		if !x.world.processes[i].alive {
			b.start(i)
			continue
		}
		b.search(i)
		b.readFolder(i)
		for j := range modelProcesses {
			b.receive(i, j)
			b.abandonClaim(i, j)
			b.loseLink(i, j)
		}
		b.timers(i)
		b.endings(i)
		b.clients(i)
	}
}

// start starts the processes in their order, each once.
func (b *branches) start(i int) {
	w := &b.from.world
	isNext := w.processes[i].machine.Self == NoProcess && (i == 0 || w.processes[i-1].machine.Self != NoProcess)
	if w.left.starts == 0 || !isNext {
		return
	}
	b.maybe("starts", i, 0, func(next *model) {
		next.world.left.starts--
		p := &next.world.processes[i]
		p.alive = true
		p.cordoned = next.othersLive(i) && w.cordonInFolder
		// The folder of a router without a living process is cleared as the slot is acquired.
		next.world.cordonInFolder = p.cordoned
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
	w := &b.from.world
	if !w.processes[i].searching {
		return
	}
	b.prompt("finds its predecessor", i, 0, func(next *model) {
		next.world.processes[i].searching = false
		found := NoProcess
		for j := i - 1; j >= 0 && found == NoProcess; j-- {
			if !w.processes[j].alive {
				continue
			}
			found = numberOf(j)
			if !w.processes[i].linked[j] {
				next.world.processes[i].linked[j], next.world.processes[j].linked[i] = true, true
				next.world.processes[i].linkTorn = false
			}
		}
		// An end that the search shows is noticed as well, as EventProcessEnded.
		next.step(i, Event{Kind: EventPredecessorFound, Process: found})
	})
}

func (b *branches) readFolder(i int) {
	w := &b.from.world
	if w.processes[i].cordoned == w.cordonInFolder {
		return
	}
	b.prompt("reads the folder", i, 0, func(next *model) { next.world.processes[i].cordoned = w.cordonInFolder })
}

// receive lets process i receive what process j has sent: a message, or else that its end or the link's was noticed.
func (b *branches) receive(i, j int) {
	w := &b.from.world
	p := &w.processes[i]
	switch {
	case w.queues[j][i].length > 0 && p.linked[j]:
		b.prompt("receives from", i, j, func(next *model) { next.deliver(j, i) })
		b.receiveTwice(i, j)
	case p.ended[j]:
		b.prompt("notices the end of", i, j, func(next *model) {
			q := &next.world.processes[i]
			q.ended[j], q.linked[j], q.linkLost[j], q.claims[j] = false, false, false, false
			next.step(i, Event{Kind: EventProcessEnded, Process: numberOf(j)})
		})
	case p.linkLost[j]:
		b.prompt("notices the lost link to", i, j, func(next *model) {
			next.world.processes[i].linkLost[j], next.world.processes[i].claims[j] = false, false
			next.step(i, Event{Kind: EventLinkLost, Process: numberOf(j)})
		})
	}
}

// receiveTwice duplicates a message of the protocol.
func (b *branches) receiveTwice(i, j int) {
	w := &b.from.world
	message := w.queues[j][i].messages[0]
	if w.left.duplicates == 0 || message&^idInState > lastProtocolMessage {
		return
	}
	b.maybe("receives twice from", i, j, func(next *model) {
		next.world.left.duplicates--
		next.deliver(j, i)
		if next.world.processes[i].alive && next.world.processes[j].alive {
			next.world.queues[j][i].push(message) // late as well: it arrives after all that was sent since
		}
	})
}

func (b *branches) abandonClaim(i, j int) {
	if b.from.world.processes[i].claims[j] {
		b.maybe("abandons its claim at", i, j, func(next *model) { next.world.processes[i].claims[j] = false })
	}
}

func (b *branches) loseLink(i, j int) {
	w := &b.from.world
	if j >= i || !w.processes[i].linked[j] || !w.processes[j].alive || w.left.linkLosses == 0 {
		return
	}
	b.maybe("loses the link to", i, j, func(next *model) {
		next.world.left.linkLosses--
		next.world.queues[i][j], next.world.queues[j][i] = messageQueue{}, messageQueue{}
		p, q := &next.world.processes[i], &next.world.processes[j]
		p.linked[j], q.linked[i] = false, false
		p.linkLost[j], q.linkLost[i] = true, true
		p.linkTorn, q.linkTorn = true, true
	})
}

// timers lets the timers of a process run out, each without the other.
func (b *branches) timers(i int) {
	w := &b.from.world
	p := &w.processes[i]
	// A process repeats its request; it is enough to let it do so when no such request is under way.
	idle := true
	if predecessor := p.machine.predecessor; predecessor != NoProcess {
		j := indexOf(predecessor)
		idle = w.queues[i][j].length == 0 && w.queues[j][i].length == 0
	}
	due := p.awaits() || p.machine.Due() < 1e300 && idle
	if p.searching || !due {
		return
	}
	if p.machine.nextHelloAt > 0 && idle {
		b.maybe("repeats its hello", i, 0, func(next *model) {
			next.world.processes[i].machine.awaitDeadline = 1e6 // this time only the other timer runs out
			next.step(i, Event{Kind: EventTick})
		})
	}
	if p.awaits() {
		b.maybe("has waited long", i, 0, func(next *model) { next.awaitRunsOut(i) })
	}
}

// awaitRunsOut ends the wait for the predecessor; the timer of the next hello stays as it is.
func (x *model) awaitRunsOut(i int) {
	p := &x.world.processes[i]
	nextHelloAt := p.machine.nextHelloAt
	p.machine.nextHelloAt, p.machine.awaitDeadline = 0, 1
	x.step(i, Event{Kind: EventTick})
	if p.alive && p.machine.nextHelloAt == 0 {
		p.machine.nextHelloAt = nextHelloAt
	}
}

func (b *branches) endings(i int) {
	w := &b.from.world
	p := &w.processes[i]
	if w.left.kills > 0 {
		b.maybe("is killed", i, 0, func(next *model) {
			next.world.left.kills--
			next.world.knowledgeLost = true
			next.end(i)
		})
	}
	if w.left.stops > 0 && !p.machine.stopRequested {
		b.maybe("is requested to end", i, 0, func(next *model) {
			next.world.left.stops--
			next.step(i, Event{Kind: EventStopRequested})
		})
	}
	if p.machine.phase == PhaseFinishing || p.machine.phase == PhaseDraining {
		b.maybe("has nothing open", i, 0, func(next *model) { next.step(i, Event{Kind: EventIdle}) })
	}
}

// clients lets an operator set the cordon, and a client send the request.
func (b *branches) clients(i int) {
	w := &b.from.world
	p := &w.processes[i]
	if w.left.cordons > 0 && p.accepts {
		b.maybe("gets the cordon", i, 0, func(next *model) {
			next.world.left.cordons--
			next.world.cordonInFolder, next.world.processes[i].cordoned = true, true
		})
	}
	if w.left.requests > 0 && (p.accepts || p.machine.phase == PhaseSuperseded || p.machine.phase == PhaseFinishing) {
		b.maybe("gets the request", i, 0, func(next *model) {
			next.world.left.requests--
			next.submit(i)
		})
	}
}
