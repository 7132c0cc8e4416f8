package hotrestart

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"windflow/internal/tracetest"
)

// Every step of the machine stays as it was recorded in testdata/traces.txt, over chains of processes that come, fail and
// are told to end at random. It guards against changes that are meant to leave decisions alone and do not.
func TestTraces(t *testing.T) {
	var all []tracetest.Scenario
	for _, procs := range []int{2, 3} {
		for _, k := range []struct {
			name    string
			set     Settings
			strange int // of a thousand events, that make no sense
		}{
			{"sound", DefaultSettings, 0},
			{"strange-events", DefaultSettings, 150},
			{"short-waits", Settings{HelloTimeout: 700, SilenceTimeout: 300, HelloInterval: 90, GoAheadTimeout: 120}, 20},
		} {
			all = append(all, chains(fmt.Sprintf("%d-processes/%s", procs, k.name), procs, k.set, k.strange))
		}
	}
	all = append(all, tracetest.Scenario{Name: "versions", Run: traceVersions})
	tracetest.Check(t, all)
}

const (
	traceChains = 300 // for each scenario
	traceEvents = 250 // for each chain
)

func chains(name string, procs int, set Settings, strange int) tracetest.Scenario {
	return tracetest.Scenario{Name: name, Run: func(t *testing.T, h *tracetest.Hash) {
		for seed := range uint64(traceChains) {
			c := chain{hash: h, rng: rand.New(rand.NewPCG(seed, uint64(procs))), most: procs, set: set, strange: strange}
			for range traceEvents {
				c.step()
			}
		}
	}}
}

func traceVersions(t *testing.T, h *tracetest.Hash) {
	for theirs := -1; theirs < 5; theirs++ {
		version, ok := NegotiateVersion(theirs)
		h.Step(1)
		h.Int(int64(version))
		h.Bool(ok)
	}
}

// chain is a row of processes, at most so many of which live at a time, and what is on its way between them.
type chain struct {
	hash    *tracetest.Hash
	rng     *rand.Rand
	set     Settings
	most    int
	strange int
	now     float64
	procs   []*traced // those that live, oldest first
	started int
	mail    []letter
}

type traced struct {
	m       Machine
	looking bool
}

// letter is an event on its way to a process.
type letter struct {
	to ProcessNumber
	ev Event
}

func (c *chain) start() {
	m, effects := New(FirstProcess+ProcessNumber(c.started), c.now, c.set)
	c.started++
	p := &traced{m: m}
	c.procs = append(c.procs, p)
	c.took(p, effects)
}

// handle has a process take an event, and writes what it does and where it stands.
func (c *chain) handle(p *traced, ev Event) {
	c.took(p, p.m.Step(c.now, ev))
}

func (c *chain) took(p *traced, effects []Effect) {
	for _, e := range effects {
		c.hash.Step(1 + int(e.Action))
		c.hash.Uint(uint64(e.Process))
		c.hash.Int(int64(e.Message))
		c.hash.Int(int64(e.Share))
	}
	c.state(&p.m)
	for _, e := range effects {
		c.effect(p, e)
	}
}

func (c *chain) state(m *Machine) {
	ask, may := m.MustAsk()
	for _, peer := range []ProcessNumber{m.Self, m.Predecessor(), m.Successor(), ask} {
		c.hash.Uint(uint64(peer))
	}
	c.hash.Int(int64(m.Phase()))
	c.hash.Int(int64(m.Share()))
	c.hash.Bool(may)
	c.hash.Bool(m.Ready())
	c.hash.Bool(m.Accepts())
	c.hash.Float(m.Due())
}

func (c *chain) effect(p *traced, e Effect) {
	switch e.Action {
	case ActionFindPredecessor:
		p.looking = true
	case ActionSend:
		c.mail = append(c.mail, letter{e.Process, Event{Kind: EventMessageReceived, Process: p.m.Self, Message: e.Message}})
	case ActionEnd:
		c.hash.Int(int64(len(p.m.Step(c.now, Event{Kind: EventStopRequested}))))
		c.end(p)
	}
}

// end takes a process out, and has the others hear of it after what it sent.
func (c *chain) end(p *traced) {
	left := c.procs[:0]
	for _, o := range c.procs {
		if o != p {
			left = append(left, o)
			c.mail = append(c.mail, letter{o.m.Self, Event{Kind: EventProcessEnded, Process: p.m.Self}})
		}
	}
	c.procs = left
}

func (c *chain) step() {
	if len(c.procs) == 0 || len(c.procs) < c.most && c.rng.IntN(12) == 0 {
		c.start()
		return
	}
	c.now += float64(c.rng.IntN(60))
	p := c.procs[c.rng.IntN(len(c.procs))]
	if c.rng.IntN(1000) < c.strange {
		c.nonsense(p)
		return
	}
	switch n := c.rng.IntN(100); {
	case n < 20:
		c.look(p)
	case n < 60:
		c.deliver()
	case n < 80:
		c.tick(p)
	case n < 84:
		c.handle(p, Event{Kind: EventTick})
	case n < 88:
		c.cut(p)
	case n < 90:
		c.end(p) // killed
	case n < 92:
		c.handle(p, Event{Kind: EventStopRequested})
	case n < 96:
		c.handle(p, Event{Kind: EventIdle})
	default:
		c.now += float64(c.rng.IntN(4000))
	}
}

// look tells a process that looks which is the newest living one before it.
func (c *chain) look(p *traced) {
	if !p.looking {
		return
	}
	p.looking = false
	found := NoProcess
	for _, o := range c.procs {
		if o.m.Self < p.m.Self {
			found = o.m.Self
		}
	}
	c.handle(p, Event{Kind: EventPredecessorFound, Process: found})
}

// deliver hands over the first of what is on its way to some process, now and then twice.
func (c *chain) deliver() {
	if len(c.mail) == 0 {
		return
	}
	to := c.mail[c.rng.IntN(len(c.mail))].to
	for i, l := range c.mail {
		if l.to != to {
			continue
		}
		if c.rng.IntN(20) > 0 {
			c.mail = append(c.mail[:i:i], c.mail[i+1:]...)
		}
		if p := c.find(to); p != nil {
			c.handle(p, l.ev)
		}
		return
	}
}

func (c *chain) find(peer ProcessNumber) *traced {
	for _, p := range c.procs {
		if p.m.Self == peer {
			return p
		}
	}
	return nil
}

// tick lets the time pass to when a process wants to be called.
func (c *chain) tick(p *traced) {
	if due := p.m.Due(); due < c.now+1e5 {
		c.now = max(c.now, due)
		c.handle(p, Event{Kind: EventTick})
	}
}

// cut loses what is on its way between a process and its elder, and tells both.
func (c *chain) cut(p *traced) {
	elder := c.find(p.m.Predecessor())
	if elder == nil {
		return
	}
	var left []letter
	for _, l := range c.mail {
		between := l.to == p.m.Self && l.ev.Process == elder.m.Self || l.to == elder.m.Self && l.ev.Process == p.m.Self
		if !between {
			left = append(left, l)
		}
	}
	c.mail = left
	c.handle(p, Event{Kind: EventLinkLost, Process: elder.m.Self})
	c.handle(elder, Event{Kind: EventLinkLost, Process: p.m.Self})
}

// nonsense gives any event from any process, those of version 1 among them.
func (c *chain) nonsense(p *traced) {
	peers := []ProcessNumber{NoProcess, LegacyPredecessor, LegacySuccessor, p.m.Self, p.m.Predecessor(), p.m.Successor(), FirstProcess + ProcessNumber(c.rng.IntN(c.started+1))}
	ev := Event{Kind: EventKind(c.rng.IntN(int(EventIdle) + 1)), Process: peers[c.rng.IntN(len(peers))]}
	if ev.Kind == EventMessageReceived {
		ev.Message = MessageKind(c.rng.IntN(int(MessageHandBack) + 1))
	}
	c.handle(p, ev)
}
