package router

import (
	"maps"
	"slices"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// IDChange is news of a client's id, for another process that stands for the same router.
type IDChange struct {
	ID     string   `json:"id"`
	Status IDStatus `json:"what"`
}

// IDStatus is what has become of an id.
type IDStatus int

// What becomes of ids: a request is open or done; what must not run twice may have run, or is proven not to have.
const (
	IDOpen IDStatus = iota
	IDDone
	IDConsumed
	IDReleased
)

// State is what another process needs to go on in a router's place.
type State struct {
	OpenIDs     []string          `json:"open"`
	ConsumedIDs []string          `json:"spent"`
	Dispatch    dispatch.Snapshot `json:"module"`
}

func (c *Core) changed(id string, what IDStatus) {
	if c.OnIDChange != nil {
		c.OnIDChange(IDChange{id, what})
	}
}

// State gives the core's; it is called in the loop.
func (c *Core) State() State {
	c.settle()
	return State{OpenIDs: slices.Sorted(maps.Keys(c.byID)), ConsumedIDs: c.spent.list(), Dispatch: c.module.Snapshot()}
}

// RestoreState goes on from another process's state; one that comes again takes the place of what came before.
func (c *Core) RestoreState(s State) {
	clear(c.elsewhere)
	for _, id := range s.OpenIDs {
		c.elsewhere[id] = true
	}
	for _, id := range s.ConsumedIDs {
		c.spent.add(id)
	}
	c.words = append(c.words, dispatch.RestoreSnapshot{Snapshot: s.Dispatch})
	c.settle()
}

// SetShutdownDeadline says that the process ends at that time, in milliseconds: every request has its answer by then. It guards
// against answers that are cut off by the kill at the end of a planned restart.
func (c *Core) SetShutdownDeadline(at float64) {
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

// OtherProcessChanged takes news of an id from the other process: one that is open there can't be opened here.
func (c *Core) OtherProcessChanged(n IDChange) {
	switch n.Status {
	case IDOpen:
		c.elsewhere[n.ID] = true
	case IDDone:
		delete(c.elsewhere, n.ID)
	case IDConsumed:
		c.spent.add(n.ID)
	case IDReleased:
		c.spent.remove(n.ID)
	}
}

// ClaimReply is what the other process says of an id before a request that must not run twice is begun here.
type ClaimReply int

// Words: it may begin; it may have run there; nothing was said.
const (
	ClaimGranted ClaimReply = iota
	ClaimDenied
	ClaimTimedOut
)

// claimBackoffMS is the advice with a refusal for want of the other process's word, in milliseconds.
const claimBackoffMS = 500.0

// claim asks the other process, where there is one, before a request that must not run twice is begun. It guards against
// an id that a client sends to both: news of it may be on its way. Nothing of the request has been sent until then.
func (c *Core) claim(r *request, begin func()) {
	if c.ClaimID == nil {
		begin()
		return
	}
	c.ClaimID(r.ID, func(w ClaimReply) {
		switch {
		case r.asker == nil: // the client left
		case w == ClaimGranted:
			begin()
		case w == ClaimDenied:
			c.fail(r, ReasonEngine)
		default:
			asker := r.asker
			c.finish(r)
			c.Counters.Rejected++
			c.ByClass[r.Class].Rejected++
			c.watched(r, Answer{Kind: AnswerRejected, Reason: "no word of the router's other process"})
			asker.Rejected(c.advice(claimBackoffMS))
		}
	})
}

// GrantClaim answers the other process's claim. From then on the id counts here as one that may have run.
func (c *Core) GrantClaim(id string) bool {
	if c.byID[id] != nil || c.spent.has(id) {
		return false
	}
	c.spent.add(id)
	return true
}

// KnowsEngine tells whether a list has named an engine.
func (c *Core) KnowsEngine(id dispatch.EngineID) bool {
	c.settle() // a list that names the engine may just have come
	return c.module.Knows(id)
}

// AdoptCordons keeps work from engines that operators have excluded in another process, whether a list has named them or not.
func (c *Core) AdoptCordons(out []dispatch.EngineID) {
	c.words = append(c.words, dispatch.RestoreSnapshot{Snapshot: dispatch.Snapshot{Known: out, Cordoned: out, CompletedWork: -1}})
	c.settle()
	for _, id := range out {
		if e, ok := c.engines[id]; ok {
			c.client.CancelUnstarted(e)
		}
	}
}

// Usage gives what this process has running on each engine.
func (c *Core) Usage() dispatch.OtherProcessUsage {
	return c.module.Usage(clock.Duration(c.loop.Now()))
}

// SetOtherProcessUsage takes in what the other process has running there.
func (c *Core) SetOtherProcessUsage(use dispatch.OtherProcessUsage) { c.events = append(c.events, use) }

// OtherProcessEnded says that the other process has ended: nothing runs there any more, and no id is open.
func (c *Core) OtherProcessEnded() {
	clear(c.elsewhere)
	c.SetOtherProcessUsage(dispatch.OtherProcessUsage{})
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
