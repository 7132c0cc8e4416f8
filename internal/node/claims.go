package node

import (
	"windflow/internal/router"
)

const (
	msgClaimID      = "may"  // idClaimMessage: the question; since version 2
	msgClaimIDReply = "word" // idClaimMessage: the reply; since version 2
	// idClaimTimeoutMS bounds the wait for the other process's reply to a claim.
	idClaimTimeoutMS = 400.0
)

// idClaimMessage requests, or grants, the claim of an idempotency id.
type idClaimMessage struct {
	Number  int    `json:"n"`
	ID      string `json:"id"`
	Granted bool   `json:"ok"`
}

// idClaims claims an idempotency id from the other process of this router before a request that must not run twice
// begins.
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

// claim requests an id and calls done with the reply. A process of version 1 knows no such request: with it, and
// without any other process, the claim is granted at once.
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

// grant answers the other process's claim.
func (c *idClaims) handleClaim(from *peer, claim idClaimMessage) {
	claim.Granted = c.services.core.GrantClaim(claim.ID)
	from.send(msgClaimIDReply, claim)
}

// replied takes the other process's answer.
func (c *idClaims) handleReply(_ *peer, claim idClaimMessage) {
	reply := router.ClaimDenied
	if claim.Granted {
		reply = router.ClaimGranted
	}
	c.pending.resolve(claim.Number, reply)
}

// partnerLost ends the claims that await a process whose link has ended.
func (c *idClaims) partnerLost() { c.pending.resolveAll(router.ClaimTimedOut) }
