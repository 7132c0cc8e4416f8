package dispatch

import (
	"math"
	"time"
)

const (
	// minPollBackoff is the backoff after the first failed poll.
	minPollBackoff = 250 * time.Millisecond
	// minMaxPollBackoff is the minimum of the longest backoff, which is otherwise a quarter of the discovery timeout.
	minMaxPollBackoff = 500 * time.Millisecond
)

// discoveryPoll sends subscriptions to discovery if it has to be polled, with a backoff after failures.
type discoveryPoll struct {
	env     *environment
	nextAt  time.Duration // time of the next subscription; math.MaxInt64 while a poll is outstanding
	backoff time.Duration
}

// next returns the time at which the next poll is due, or math.MaxInt64 if none is.
func (p *discoveryPoll) next() time.Duration {
	if !p.env.config.PolledDiscovery {
		return math.MaxInt64
	}
	return p.nextAt
}

// subscribe polls for the next change if discovery has to be polled.
func (p *discoveryPoll) subscribe() {
	if p.env.config.PolledDiscovery {
		p.env.emit(Subscribe{})
		p.nextAt = math.MaxInt64
	}
}

// subscribeIfDue polls if the backoff has ended.
func (p *discoveryPoll) subscribeIfDue() {
	if p.env.config.PolledDiscovery && p.env.now >= p.nextAt {
		p.subscribe()
	}
}

// failed starts a backoff with jitter, so that routers whose polls failed at the same time do not poll at the same
// time again.
func (p *discoveryPoll) failed() {
	maxBackoff := max(p.env.config.DiscoveryTimeout/4, minMaxPollBackoff)
	p.backoff = min(max(2*p.backoff, minPollBackoff), maxBackoff)
	p.nextAt = p.env.now + p.backoff/2 + time.Duration(p.env.random.Float64()*float64(p.backoff))
}

// answered resets the backoff after a successful poll.
func (p *discoveryPoll) answered() { p.backoff = 0 }
