package hotrestart

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"windflow/internal/tracetest"
)

// Fails when a change alters any step of the machine, compared with the recording in testdata/traces.txt. The
// recording has chains of processes that start, fail and are requested to end at random.
func TestTraces(t *testing.T) {
	var scenarios []tracetest.Scenario
	for _, processes := range []int{2, 3} {
		for _, k := range []struct {
			name               string
			settings           Settings
			unexpectedPerMille int // how many of 1000 events do not fit the phase
		}{
			{"sound", DefaultSettings, 0},
			{"strange-events", DefaultSettings, 150},
			{"short-waits", Settings{
				HelloTimeoutMS:   700,
				SilenceTimeoutMS: 300,
				HelloIntervalMS:  90,
				GoAheadTimeoutMS: 120,
			}, 20},
		} {
			c := chain{settings: k.settings, maxLiving: processes, unexpectedPerMille: k.unexpectedPerMille}
			scenarios = append(scenarios, chainScenario(fmt.Sprintf("%d-processes/%s", processes, k.name), c))
		}
	}
	scenarios = append(scenarios, tracetest.Scenario{Name: "versions", Run: traceVersions})
	tracetest.Check(t, scenarios)
}

const (
	traceChains = 300 // per scenario
	traceEvents = 250 // per chain
)

// chainScenario runs chains of processes with the settings of the template, each with its own seed.
func chainScenario(name string, template chain) tracetest.Scenario {
	return tracetest.Scenario{Name: name, Run: func(t *testing.T, hash *tracetest.Hash) {
		t.Helper()
		for seed := range uint64(traceChains) {
			c := template
			c.hash = hash
			c.rng = rand.New(rand.NewPCG(seed, uint64(c.maxLiving)))
			for range traceEvents {
				c.step()
			}
		}
	}}
}

func traceVersions(t *testing.T, hash *tracetest.Hash) {
	t.Helper()
	for theirs := -1; theirs < 5; theirs++ {
		version, ok := NegotiateVersion(theirs)
		hash.Step(1)
		hash.Int(int64(version))
		hash.Bool(ok)
	}
}

// chain is a sequence of processes, of which at most maxLiving are alive at a time, and the events in flight to them.
type chain struct {
	hash               *tracetest.Hash
	rng                *rand.Rand
	settings           Settings
	maxLiving          int
	unexpectedPerMille int
	now                float64
	processes          []*tracedProcess // the living ones, oldest first
	started            int
	inFlight           []delivery
}

type tracedProcess struct {
	machine   Machine
	searching bool
}

// delivery is an event in flight to a process.
type delivery struct {
	to    ProcessNumber
	event Event
}

func (c *chain) start() {
	machine, effects := New(FirstProcess+ProcessNumber(c.started), c.now, c.settings)
	c.started++
	p := &tracedProcess{machine: machine}
	c.processes = append(c.processes, p)
	c.record(p, effects)
}

// handle passes an event to a process and records its effects.
func (c *chain) handle(p *tracedProcess, event Event) {
	c.record(p, p.machine.Step(c.now, event))
}

// record records effects and the resulting state, then carries out the effects.
func (c *chain) record(p *tracedProcess, effects []Effect) {
	for _, effect := range effects {
		c.hash.Step(1 + int(effect.Action))
		c.hash.Uint(uint64(effect.Process))
		c.hash.Int(int64(effect.Message))
		c.hash.Int(int64(effect.Share))
	}
	c.recordState(&p.machine)
	for _, effect := range effects {
		c.carryOut(p, effect)
	}
}

func (c *chain) recordState(m *Machine) {
	granter, allowed := m.IDGranter()
	for _, process := range []ProcessNumber{m.Self, m.Predecessor(), m.Successor(), granter} {
		c.hash.Uint(uint64(process))
	}
	c.hash.Int(int64(m.Phase()))
	c.hash.Int(int64(m.Share()))
	c.hash.Bool(allowed)
	c.hash.Bool(m.Ready())
	c.hash.Bool(m.Accepts())
	c.hash.Float(m.Due())
}

func (c *chain) carryOut(p *tracedProcess, effect Effect) {
	switch effect.Action {
	case ActionFindPredecessor:
		p.searching = true
	case ActionSend:
		received := Event{Kind: EventMessageReceived, Process: p.machine.Self, Message: effect.Message}
		c.inFlight = append(c.inFlight, delivery{effect.Process, received})
	case ActionEnd:
		c.hash.Int(int64(len(p.machine.Step(c.now, Event{Kind: EventStopRequested}))))
		c.end(p)
	case ActionRestoreState, ActionStartAccepting, ActionStopAccepting, ActionFinish, ActionDrain, ActionSetShare:
	}
}

// end removes a process. The other processes are notified after they have received what it sent.
func (c *chain) end(ended *tracedProcess) {
	left := c.processes[:0]
	for _, p := range c.processes {
		if p != ended {
			left = append(left, p)
			event := Event{Kind: EventProcessEnded, Process: ended.machine.Self}
			c.inFlight = append(c.inFlight, delivery{p.machine.Self, event})
		}
	}
	c.processes = left
}

func (c *chain) step() {
	if len(c.processes) == 0 || len(c.processes) < c.maxLiving && c.rng.IntN(12) == 0 {
		c.start()
		return
	}
	c.now += float64(c.rng.IntN(60))
	p := c.processes[c.rng.IntN(len(c.processes))]
	if c.rng.IntN(1000) < c.unexpectedPerMille {
		c.handleUnexpected(p)
		return
	}
	switch n := c.rng.IntN(100); {
	case n < 20:
		c.search(p)
	case n < 60:
		c.deliver()
	case n < 80:
		c.tick(p)
	case n < 84:
		c.handle(p, Event{Kind: EventTick})
	case n < 88:
		c.loseLink(p)
	case n < 90:
		c.end(p) // the process is killed
	case n < 92:
		c.handle(p, Event{Kind: EventStopRequested})
	case n < 96:
		c.handle(p, Event{Kind: EventIdle})
	default:
		c.now += float64(c.rng.IntN(4000))
	}
}

// search reports to a process that looks for its predecessor the newest living process before it.
func (c *chain) search(p *tracedProcess) {
	if !p.searching {
		return
	}
	p.searching = false
	found := NoProcess
	for _, other := range c.processes {
		if other.machine.Self < p.machine.Self {
			found = other.machine.Self
		}
	}
	c.handle(p, Event{Kind: EventPredecessorFound, Process: found})
}

// deliver passes the next event to a random process; with a probability of 1 in 20 the event is delivered again later.
func (c *chain) deliver() {
	if len(c.inFlight) == 0 {
		return
	}
	to := c.inFlight[c.rng.IntN(len(c.inFlight))].to
	for i, next := range c.inFlight {
		if next.to != to {
			continue
		}
		if c.rng.IntN(20) > 0 {
			c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
		}
		if p := c.find(to); p != nil {
			c.handle(p, next.event)
		}
		return
	}
}

func (c *chain) find(number ProcessNumber) *tracedProcess {
	for _, p := range c.processes {
		if p.machine.Self == number {
			return p
		}
	}
	return nil
}

// tick advances the time until the process is due.
func (c *chain) tick(p *tracedProcess) {
	if due := p.machine.Due(); due < c.now+1e5 {
		c.now = max(c.now, due)
		c.handle(p, Event{Kind: EventTick})
	}
}

// loseLink drops all messages in flight between a process and its predecessor, and notifies both.
func (c *chain) loseLink(p *tracedProcess) {
	predecessor := c.find(p.machine.Predecessor())
	if predecessor == nil {
		return
	}
	var left []delivery
	for _, d := range c.inFlight {
		if !d.between(p.machine.Self, predecessor.machine.Self) {
			left = append(left, d)
		}
	}
	c.inFlight = left
	c.handle(p, Event{Kind: EventLinkLost, Process: predecessor.machine.Self})
	c.handle(predecessor, Event{Kind: EventLinkLost, Process: p.machine.Self})
}

// between reports whether the event is sent by one of the two processes to the other.
func (d delivery) between(one, other ProcessNumber) bool {
	return d.to == one && d.event.Process == other || d.to == other && d.event.Process == one
}

// handleUnexpected passes a random event from a random process, which may have protocol version 1.
func (c *chain) handleUnexpected(p *tracedProcess) {
	processes := []ProcessNumber{
		NoProcess, LegacyPredecessor, LegacySuccessor,
		p.machine.Self, p.machine.Predecessor(), p.machine.Successor(),
		FirstProcess + ProcessNumber(c.rng.IntN(c.started+1)),
	}
	event := Event{Kind: EventKind(c.rng.IntN(int(EventIdle) + 1)), Process: processes[c.rng.IntN(len(processes))]}
	if event.Kind == EventMessageReceived {
		event.Message = MessageKind(c.rng.IntN(int(MessageHandBack) + 1))
	}
	c.handle(p, event)
}
