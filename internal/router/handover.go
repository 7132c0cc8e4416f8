package router

import (
	"maps"
	"slices"

	"windflow/brain"
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
	Open   []string       `json:"open"`
	Spent  []string       `json:"spent"`
	Module brain.Snapshot `json:"module"`
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

// TakeOver goes on from another process's state.
func (c *Core) TakeOver(s State) {
	for _, id := range s.Open {
		c.elsewhere[id] = true
	}
	for _, id := range s.Spent {
		c.spent.add(id)
	}
	c.events = append(c.events, brain.Takeover{Snapshot: s.Module})
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
				a.timeout = c.loop.At(at, func() { c.ended(a, End{Outcome: brain.TimedOut, Detail: "the router ends"}) })
			}
		}
	}
	c.events = append(c.events, brain.Closing{At: clock.Duration(at)})
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

// Use gives what this process has running on each engine.
func (c *Core) Use() brain.PeerUse { return c.module.Use(clock.Duration(c.loop.Now())) }

// PeerUse takes in what the other process has running there.
func (c *Core) PeerUse(use brain.PeerUse) { c.events = append(c.events, use) }

// Alone says that the other process has ended: nothing runs there any more, and no id is open.
func (c *Core) Alone() {
	clear(c.elsewhere)
	c.PeerUse(brain.PeerUse{})
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
