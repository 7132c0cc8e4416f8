package router

import (
	"slices"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// UpdateEndpoints tells the module of the list, and keeps the addresses. Those of engines that left are kept until the module
// has heard of it: an event gathered ahead of this list may still have it send to one.
func (c *Core) UpdateEndpoints(list dispatch.EndpointList, addrs map[dispatch.EngineID]string) {
	c.Counters.EndpointUpdates++
	if c.Observer != nil {
		c.Observer.EndpointsChanged()
	}
	if list.Mode == dispatch.ListComplete {
		// An engine that a whole list leaves out is gone; its address may pass to another.
		for id, e := range c.engines {
			if !slices.ContainsFunc(list.Endpoints, func(n dispatch.Endpoint) bool { return n.ID == id }) {
				c.client.Forget(e)
				c.client.CancelUnstarted(e)
				c.leaving[id] = true
				c.gone = append(c.gone, id)
			}
		}
	}
	c.words = append(c.words, list)
	for _, e := range list.Endpoints {
		old, known := c.engines[e.ID]
		if delete(c.leaving, e.ID); e.State != dispatch.Live && (known || e.State == dispatch.Draining) {
			c.leaving[e.ID] = true
		}
		moved := known && old.Address != addrs[e.ID]
		switch {
		case e.State == dispatch.Removed:
			if known {
				c.client.Forget(old)
				c.gone = append(c.gone, e.ID)
			}
		default:
			if moved {
				c.client.Forget(old)
			}
			c.engines[e.ID] = Engine{ID: e.ID, Address: addrs[e.ID], Kind: e.Kind}
			c.gone = slices.DeleteFunc(c.gone, func(id dispatch.EngineID) bool { return id == e.ID })
		}
		if known && (moved || e.State != dispatch.Live) {
			// The module chose it when it was live, and there. What has not begun may begin much later, when the time for
			// that is over, or another engine has the address.
			c.client.CancelUnstarted(old)
		}
	}
}

// Cordon keeps new work from an engine, by an operator's word, until Include; once it returns, nothing more is begun
// there. Both say no to an engine that no list has named.
func (c *Core) Cordon(id dispatch.EngineID) bool { return c.order(id, dispatch.Cordon{Engine: id}) }

// Uncordon ends an Exclude.
func (c *Core) Uncordon(id dispatch.EngineID) bool { return c.order(id, dispatch.Uncordon{Engine: id}) }

func (c *Core) order(id dispatch.EngineID, word dispatch.Event) bool {
	if !c.KnowsEngine(id) {
		return false
	}
	c.words = append(c.words, word)
	c.settle()
	if e, ok := c.engines[id]; ok && c.module.Cordoned(id) {
		c.client.CancelUnstarted(e)
	}
	return true
}

// ListedEngines is the number of engines in the list, and Avoided that of those among them which get no work now, by an
// operator's word or by the module's choice.
func (c *Core) ListedEngines() int { return len(c.engines) }

// AvoidedEngines: see Listed.
func (c *Core) AvoidedEngines() int { return c.module.AvoidedEngines(clock.Duration(c.loop.Now())) }

// HoldDecisions has the core gather events and hand none to the module, until it is called with false: then what it heard of
// engines goes first. It is for a process that stood still, and guards against queries that waited with it being sent by
// an old view of the fleet.
func (c *Core) HoldDecisions(on bool) {
	c.hearing = on
	if on {
		return
	}
	c.settle()
	for id, e := range c.engines {
		if c.module.Cordoned(id) {
			c.client.CancelUnstarted(e)
		}
	}
}
