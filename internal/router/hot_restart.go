package router

import (
	"windflow/dispatch"
	"windflow/internal/clock"
)

// State is the state that this process passes to its successor in a hot restart.
type State struct {
	OpenIDs     []string          `json:"open"`
	ConsumedIDs []string          `json:"spent"`
	Dispatch    dispatch.Snapshot `json:"module"`
}

// ClaimReply is the other process's reply to a claim. This process claims the id of an at-most-once request before it
// starts the request.
type ClaimReply int

// Replies to a claim.
const (
	ClaimGranted  ClaimReply = iota // the request may start
	ClaimDenied                     // the request may have run in the other process
	ClaimTimedOut                   // there was no reply in time
)

// claimRetryAfterMS is the Retry-After, in milliseconds, of a request that is rejected because its claim timed out.
const claimRetryAfterMS = 500.0

// State returns the core's current state for another process, after the dispatch module has handled all queued events.
func (c *Core) State() State {
	c.decide()
	return State{
		OpenIDs:     c.requests.openIDs(),
		ConsumedIDs: c.ids.consumedIDs(),
		Dispatch:    c.module.Snapshot(),
	}
}

// RestoreState applies the state of another process. The open ids of a later state replace those of an earlier one.
func (c *Core) RestoreState(state State) {
	c.ids.restore(state.OpenIDs, state.ConsumedIDs)
	c.queue.addEngineEvent(dispatch.RestoreSnapshot{Snapshot: state.Dispatch})
	c.decide()
}

// SetShutdownDeadline sets the time at which the process ends, in milliseconds on the loop's clock. Each request is
// answered before that. Otherwise the kill at the end of a planned restart would cut off answers.
func (c *Core) SetShutdownDeadline(at float64) {
	c.shutdownAt = at
	for _, request := range c.requests.open {
		c.responder.limitDeadline(request, at)
	}
	c.queue.add(dispatch.ShutdownDeadline{At: clock.Duration(at)})
}

// OtherProcessChanged applies a change of the status of a request id in the other process. A request whose id is open
// there can't be submitted here.
func (c *Core) OtherProcessChanged(change IDChange) { c.ids.applyChange(change) }

// claim requests a grant for the id of an at-most-once request from the other process, if there is one. The request
// waits for the grant before it is passed to the dispatch module. Without it, a client could send the same id to both
// processes, and each would start the request before it receives the other's IDChange.
func (c *Core) claim(request *request) {
	if c.ClaimID == nil {
		c.queueArrival(request)
		return
	}
	c.ClaimID(request.ID, func(reply ClaimReply) {
		if !request.open() { // answered or abandoned while the claim was pending
			return
		}
		switch reply {
		case ClaimGranted:
			c.queueArrival(request)
		case ClaimDenied:
			c.responder.fail(request, ReasonEngine)
		case ClaimTimedOut:
			c.responder.rejectClaimTimeout(request)
		}
	})
}

// GrantClaim reports whether the other process may start the request whose id it claims. A granted id counts in this
// process as one whose request may have run.
func (c *Core) GrantClaim(id string) bool {
	return !c.requests.isOpen(id) && c.ids.grant(id)
}

// AdoptCordons cordons engines that operators have cordoned in another process, including engines that no endpoint list
// has contained.
func (c *Core) AdoptCordons(cordoned []dispatch.EngineID) {
	c.queue.addEngineEvent(dispatch.RestoreSnapshot{
		Snapshot: dispatch.Snapshot{Known: cordoned, Cordoned: cordoned, CompletedWork: -1},
	})
	c.decide()
	for _, id := range cordoned {
		c.endpoints.cancelUnstarted(id)
	}
}

// Usage returns the load that this process's attempts put on each engine, for the other process.
func (c *Core) Usage() dispatch.OtherProcessUsage {
	return c.module.Usage(clock.Duration(c.loop.Now()))
}

// SetOtherProcessUsage sets the load that the other process's attempts put on each engine.
func (c *Core) SetOtherProcessUsage(usage dispatch.OtherProcessUsage) { c.queue.add(usage) }

// OtherProcessEnded clears the open ids and the usage of the other process after that has ended. Ids of requests that
// may have run there stay in use.
func (c *Core) OtherProcessEnded() {
	c.ids.otherProcessEnded()
	c.SetOtherProcessUsage(dispatch.OtherProcessUsage{})
}
