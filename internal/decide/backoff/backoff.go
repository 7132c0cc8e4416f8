package backoff

// maxDoublings bounds the number of doublings: after 32 of them any reasonable Policy.Max is reached.
const maxDoublings = 32

// Policy holds the lengths of backoffs, in milliseconds.
type Policy struct {
	Initial float64 // length after the first failure
	Max     float64 // upper bound of the length
}

// Backoff is the backoff state of one engine. The zero Backoff has recorded no failure and is not active.
type Backoff struct {
	failures int     // consecutive failures
	until    float64 // end of the backoff, in milliseconds
}

// RecordFailure starts a backoff after a failed attempt at the time now, in milliseconds. The length is the policy's
// initial length, doubled for each consecutive failure up to the maximum, times jitter: a factor around 1 that spreads
// the ends of backoffs that started together.
func (b *Backoff) RecordFailure(now, jitter float64, policy Policy) {
	length := policy.Initial
	for range min(b.failures, maxDoublings) {
		length = min(2*length, policy.Max)
	}
	b.failures++
	b.until = now + jitter*min(length, policy.Max)
}

// RecordSuccess ends the backoff and resets its length to the initial one.
func (b *Backoff) RecordSuccess() { *b = Backoff{} }

// Active reports whether the backoff is still running at the time now.
func (b *Backoff) Active(now float64) bool { return now < b.until }
