package node

import (
	"windflow/internal/router"
)

const (
	msgClaimID      = "may"  // idClaimMessage: request; since protocol version 2
	msgClaimIDReply = "word" // idClaimMessage: reply; since protocol version 2
	// idClaimTimeoutMS is how long a claim waits for the other process's reply.
	idClaimTimeoutMS = 400.0
)

// idClaimMessage requests the claim of an idempotency id, or replies to such a request.
type idClaimMessage struct {
	Number  int    `json:"n"`
	ID      string `json:"id"`
	Granted bool   `json:"ok"`
}

// idClaims claims the idempotency id of a request that must not run twice from the other process of this router, before
// the request starts.
type idClaims struct {
	loop     *router.Loop
	services *services
	grantor  func() (grantor *peer, possible bool)
	pending  pendingReplies[router.ClaimReply]
}

func newIDClaims(loop *router.Loop, services *services, grantor func() (*peer, bool)) *idClaims {
	return &idClaims{
		loop: loop, services: services, grantor: grantor, pending: newPendingReplies[router.ClaimReply](loop),
	}
}

// claim claims an id and calls done once with the result. The claim is granted at once if there is no other process, or
// if the other process has protocol version 1, which does not have claims. If there is no reply in time, or if no claim
// can be granted at present, the result is ClaimTimedOut.
func (c *idClaims) claim(id string, done func(router.ClaimReply)) {
	grantor, possible := c.grantor()
	switch {
	case !possible:
		c.loop.After(0, func() { done(router.ClaimTimedOut) })
	case grantor == nil || grantor.version == 1:
		done(router.ClaimGranted)
	default:
		number := c.pending.add(idClaimTimeoutMS, router.ClaimTimedOut, done)
		grantor.send(msgClaimID, idClaimMessage{Number: number, ID: id})
	}
}

// handleClaim replies to a claim of the other process.
func (c *idClaims) handleClaim(from *peer, claim idClaimMessage) {
	claim.Granted = c.services.core.GrantClaim(claim.ID)
	from.send(msgClaimIDReply, claim)
}

// handleReply completes a claim with the other process's reply.
func (c *idClaims) handleReply(_ *peer, claim idClaimMessage) {
	reply := router.ClaimDenied
	if claim.Granted {
		reply = router.ClaimGranted
	}
	c.pending.resolve(claim.Number, reply)
}

// partnerLost times out all pending claims after the link to the other process has ended.
func (c *idClaims) partnerLost() { c.pending.resolveAll(router.ClaimTimedOut) }
