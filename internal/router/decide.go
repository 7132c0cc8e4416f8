package router

import (
	"windflow/dispatch"
	"windflow/internal/clock"
)

// decide passes the queued events to the dispatch module and executes the actions that it returns, until no event is
// left. It does nothing but count a step while decisions are held.
func (c *Core) decide() {
	c.Counters.Steps++
	if c.holding {
		return
	}
	for !c.queue.empty() {
		now := clock.Duration(c.loop.Now())
		events, queued := c.queue.take(), c.requests.takeQueued()
		c.actions = c.actions[:0]
		for _, event := range events {
			c.actions = c.module.Handle(now, event, c.actions)
		}
		c.Counters.Events += int64(len(events))
		c.Counters.Actions += int64(len(c.actions))
		removed := c.endpoints.takeRemoved()
		for _, action := range c.actions {
			c.execute(action)
		}
		c.endpoints.delete(removed)
		c.requests.finishQueued(queued)
	}
	c.requests.finishQueued(c.requests.takeQueued()) // no event about them is left
}

// execute executes one action of the dispatch module.
func (c *Core) execute(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.StartAttempt:
		c.attempts.start(action)
	case dispatch.SetResources:
		c.attempts.setResources(action)
	case dispatch.CancelAttempt:
		c.attempts.cancel(action)
	case dispatch.Reject:
		c.responder.reject(c.requests.get(action.Request), clock.Millis(action.RetryAfter))
	case dispatch.FailRequest:
		c.responder.failByModule(c.requests.get(action.Request))
	case dispatch.SetTimer:
		c.loop.After(clock.Millis(action.After), func() {
			c.queue.add(dispatch.TimerFired{Tag: action.Tag})
		})
	case dispatch.Subscribe: // nothing to do: discovery pushes changes of the endpoint list without a subscription
	}
}
