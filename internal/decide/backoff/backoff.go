package backoff

// maxDoublings bounds the doublings of a backoff: by then, any bound that makes sense is reached.
const maxDoublings = 32

// Policy says how long backoffs are, in milliseconds.
type Policy struct {
	Initial float64 // after the first failure
	Max     float64
}

// Backoff is the backoff from one engine. The zero Backoff is none.
type Backoff struct {
	failures int     // in a row
	until    float64 // in milliseconds
}

// RecordFailure begins a backoff after a failed attempt. Jitter is a factor around 1 that spreads the ends of backoffs
// that began together.
func (b *Backoff) RecordFailure(now, jitter float64, policy Policy) {
	length := policy.Initial
	for range min(b.failures, maxDoublings) {
		length = min(2*length, policy.Max)
	}
	b.failures++
	b.until = now + jitter*min(length, policy.Max)
}

// RecordSuccess ends the backoff.
func (b *Backoff) RecordSuccess() { *b = Backoff{} }

// Active tells whether the backoff lasts.
func (b *Backoff) Active(now float64) bool { return now < b.until }
