// Package quota decides whether a tenant exceeds its quota: a token bucket whose rate may change with every use. The
// package has no clock: callers pass times in milliseconds.
package quota

const (
	// burstSeconds is how much may come at once, in seconds of the rate.
	burstSeconds = 2.0
	// minBurst is added to each burst: a tenant with the smallest rate would otherwise exceed it with its first
	// request.
	extraBurst = 5.0
	// msPerSecond converts times, which are in milliseconds, for rates, which are per second.
	msPerSecond = 1000
)

// Bucket is the token bucket of one tenant. The zero Bucket is full at its first use.
type Bucket struct {
	tokens   float64
	filledAt float64
	used     bool
}

// Take takes a token from a bucket that fills at rate tokens a second, and tells whether there was one.
func (b *Bucket) Take(rate, now float64) bool {
	size := burstSeconds*max(rate, 0) + extraBurst
	if !b.used {
		b.tokens, b.filledAt, b.used = size, now, true
	}
	b.tokens = min(b.tokens+max(rate, 0)*max(now-b.filledAt, 0)/msPerSecond, size)
	b.filledAt = max(b.filledAt, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
