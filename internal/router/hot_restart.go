package router

import (
	"windflow/dispatch"
	"windflow/internal/clock"
)

// State is what another process needs to continue in place of this one.
type State struct {
	OpenIDs     []string          `json:"open"`
	ConsumedIDs []string          `json:"spent"`
	Dispatch    dispatch.Snapshot `json:"module"`
}

// ClaimReply is the other process's reply to the claim of an id, before an at-most-once request with it starts here.
type ClaimReply int

// Replies to a claim.
const (
	ClaimGranted  ClaimReply = iota // the request may start
	ClaimDenied                     // it may have run in the other process
	ClaimTimedOut                   // there was no reply in time
)

// claimRetryAfterMS is the Retry-After of a request that is rejected because its claim timed out.
const claimRetryAfterMS = 500.0

// State returns the core's state.
func (c *Core) State() State {
	c.decide()
	return State{
		OpenIDs:     c.requests.openIDs(),
		ConsumedIDs: c.ids.consumedIDs(),
		Dispatch:    c.module.Snapshot(),
	}
}

// RestoreState continues from another process's state. A later state replaces an earlier one.
func (c *Core) RestoreState(state State) {
	c.ids.restore(state.OpenIDs, state.ConsumedIDs)
	c.queue.addEngineEvent(dispatch.RestoreSnapshot{Snapshot: state.Dispatch})
	c.decide()
}

// SetShutdownDeadline says when the process ends, in milliseconds on the loop's clock: each request is answered by
// then. It guards against answers that are cut off by the kill at the end of a planned restart.
func (c *Core) SetShutdownDeadline(at float64) {
	c.shutdownAt = at
	for _, request := range c.requests.open {
		c.responder.limitDeadline(request, at)
	}
	c.queue.add(dispatch.ShutdownDeadline{At: clock.Duration(at)})
}

// OtherProcessChanged applies a change of an id in the other process: one that is open there can't be opened here.
func (c *Core) OtherProcessChanged(change IDChange) { c.ids.applyChange(change) }

// claim requests a grant of the other process, if there is one, before an at-most-once request starts. It guards
// against an id that a client sends to both processes while the change that says so is on its way. Nothing of the
// request is sent until then.
func (c *Core) claim(request *request) {
	if c.ClaimID == nil {
		c.queueArrival(request)
		return
	}
	c.ClaimID(request.ID, func(reply ClaimReply) {
		if !request.open() { // the client is gone
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

// GrantClaim answers the other process's claim of an id. An id that is granted counts here as one that may have run.
func (c *Core) GrantClaim(id string) bool {
	return !c.requests.isOpen(id) && c.ids.grant(id)
}

// AdoptCordons cordons engines that operators have cordoned in another process, whether a list has named them or not.
func (c *Core) AdoptCordons(cordoned []dispatch.EngineID) {
	c.queue.addEngineEvent(dispatch.RestoreSnapshot{
		Snapshot: dispatch.Snapshot{Known: cordoned, Cordoned: cordoned, CompletedWork: -1},
	})
	c.decide()
	for _, id := range cordoned {
		c.endpoints.cancelUnstarted(id)
	}
}

// Usage returns what this process has running on each engine.
func (c *Core) Usage() dispatch.OtherProcessUsage {
	return c.module.Usage(clock.Duration(c.loop.Now()))
}

// SetOtherProcessUsage sets what the other process has running on each engine.
func (c *Core) SetOtherProcessUsage(usage dispatch.OtherProcessUsage) { c.queue.add(usage) }

// OtherProcessEnded says that the other process has ended: nothing of it runs any more, and none of its ids is open.
func (c *Core) OtherProcessEnded() {
	c.ids.otherProcessEnded()
	c.SetOtherProcessUsage(dispatch.OtherProcessUsage{})
}
