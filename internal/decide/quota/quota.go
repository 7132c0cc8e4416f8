// Package quota decides whether a tenant exceeds its quota, with a token bucket whose rate may change with every use.
// The package has no clock: callers pass times in milliseconds.
package quota

const (
	// burstSeconds is how many seconds of the rate a burst contains in addition to extraBurst.
	burstSeconds = 2.0
	// extraBurst is the part of every burst, in tokens, that does not depend on the rate. Without it, the first request
	// of a tenant with a very low rate would exceed the quota.
	extraBurst = 5.0
	// msPerSecond relates times, which are in milliseconds, to rates, which are per second.
	msPerSecond = 1000
)

// Bucket is the token bucket of one tenant. The zero Bucket is full when it is first used.
type Bucket struct {
	tokens   float64
	filledAt float64
	used     bool
}

// Take takes one token from a bucket that is filled with rate tokens per second, and reports whether a token was
// available.
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
