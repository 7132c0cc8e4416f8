package router

import (
	"maps"
	"slices"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// IDChange is news of a client's id, for another process that stands for the same router.
type IDChange struct {
	ID   string   `json:"id"`
	What IDStatus `json:"what"`
}

// IDStatus is what has become of an id.
type IDStatus int

// What becomes of ids: a request is open or done; what must not run twice may have run, or is proven not to have.
const (
	IDOpen IDStatus = iota
	IDDone
	IDSpent
	IDUnspent
)

// State is what another process needs to go on in a router's place.
type State struct {
	Open   []string          `json:"open"`
	Spent  []string          `json:"spent"`
	Module dispatch.Snapshot `json:"module"`
}

func (c *Core) changed(id string, what IDStatus) {
	if c.Ids != nil {
		c.Ids(IDChange{id, what})
	}
}

// State gives the core's; it is called in the loop.
func (c *Core) State() State {
	c.settle()
	return State{Open: slices.Sorted(maps.Keys(c.byID)), Spent: c.spent.list(), Module: c.module.Snapshot()}
}

// TakeOver goes on from another process's state; one that comes again takes the place of what came before.
func (c *Core) TakeOver(s State) {
	clear(c.elsewhere)
	for _, id := range s.Open {
		c.elsewhere[id] = true
	}
	for _, id := range s.Spent {
		c.spent.add(id)
	}
	c.words = append(c.words, dispatch.RestoreSnapshot{Snapshot: s.Module})
	c.settle()
}

// Closing says that the process ends at that time, in milliseconds: every request has its answer by then. It guards
// against answers that are cut off by the kill at the end of a planned restart.
func (c *Core) Closing(at float64) {
	c.closeAt = at
	for _, r := range c.byID {
		if r.end <= at {
			continue
		}
		r.end = at
		c.guard(r)
		for _, a := range r.attempts {
			if !a.ended && a.timeout != nil {
				a.timeout.Stop()
				a.timeout = c.loop.At(at, func() { c.ended(a, End{Outcome: dispatch.TimedOut, Detail: "the router ends"}) })
			}
		}
	}
	c.events = append(c.events, dispatch.ShutdownDeadline{At: clock.Duration(at)})
}

// Elsewhere takes news of an id from the other process: one that is open there can't be opened here.
func (c *Core) Elsewhere(n IDChange) {
	switch n.What {
	case IDOpen:
		c.elsewhere[n.ID] = true
	case IDDone:
		delete(c.elsewhere, n.ID)
	case IDSpent:
		c.spent.add(n.ID)
	case IDUnspent:
		c.spent.remove(n.ID)
	}
}

// Word is what the other process says of an id before a request that must not run twice is begun here.
type Word int

// Words: it may begin; it may have run there; nothing was said.
const (
	Granted Word = iota
	Denied
	Silent
)

// claimBackoffMS is the advice with a refusal for want of the other process's word, in milliseconds.
const claimBackoffMS = 500.0

// claim asks the other process, where there is one, before a request that must not run twice is begun. It guards against
// an id that a client sends to both: news of it may be on its way. Nothing of the request has been sent until then.
func (c *Core) claim(r *request, begin func()) {
	if c.Claim == nil {
		begin()
		return
	}
	c.Claim(r.ID, func(w Word) {
		switch {
		case r.asker == nil: // the client left
		case w == Granted:
			begin()
		case w == Denied:
			c.fail(r, ReasonEngine)
		default:
			asker := r.asker
			c.finish(r)
			c.Counters.Refused++
			c.ByClass[r.Class].Refused++
			c.watched(r, Answer{Kind: AnswerRefused, Reason: "no word of the router's other process"})
			asker.Refused(c.advice(claimBackoffMS))
		}
	})
}

// Grant answers the other process's claim. From then on the id counts here as one that may have run.
func (c *Core) Grant(id string) bool {
	if c.byID[id] != nil || c.spent.has(id) {
		return false
	}
	c.spent.add(id)
	return true
}

// Knows tells whether a list has named an engine.
func (c *Core) Knows(id dispatch.EngineID) bool {
	c.settle() // a list that names the engine may just have come
	return c.module.Knows(id)
}

// Adopt keeps work from engines that operators have excluded in another process, whether a list has named them or not.
func (c *Core) Adopt(out []dispatch.EngineID) {
	c.words = append(c.words, dispatch.RestoreSnapshot{Snapshot: dispatch.Snapshot{Known: out, Cordoned: out, CompletedWork: -1}})
	c.settle()
	for _, id := range out {
		if e, ok := c.engines[id]; ok {
			c.client.Withhold(e)
		}
	}
}

// Use gives what this process has running on each engine.
func (c *Core) Use() dispatch.OtherProcessUsage { return c.module.Usage(clock.Duration(c.loop.Now())) }

// PeerUse takes in what the other process has running there.
func (c *Core) PeerUse(use dispatch.OtherProcessUsage) { c.events = append(c.events, use) }

// Alone says that the other process has ended: nothing runs there any more, and no id is open.
func (c *Core) Alone() {
	clear(c.elsewhere)
	c.PeerUse(dispatch.OtherProcessUsage{})
}

// list gives the ids, the oldest first.
func (s *spent) list() []string {
	var ids []string
	for i := range maxSpent {
		if id := s.ids[(s.next+i)%maxSpent]; id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}
