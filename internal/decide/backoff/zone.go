package backoff

// ZoneBackoff is the backoff state of a zone, whose engines may all fail at once. The backoff starts after enough
// failures without a success in between. Consecutive failures of the same engine say nothing about the other engines
// and count once. The zero ZoneBackoff has recorded no failure and is not active.
type ZoneBackoff struct {
	backoff          Backoff
	failures         int     // consecutive failures, not counting repeated failures of the same engine
	lastFailedEngine int64   // engine of the last counted failure
	extendableAt     float64 // time from which a failure may start or extend the backoff
}

// RecordFailure counts a failed attempt on an engine and starts or extends the backoff when the number of
// consecutive failures has reached threshold. Times are in milliseconds. Failures of attempts that were already running
// when a backoff started do not extend it: for the policy's initial length from its start, failures are only counted.
func (z *ZoneBackoff) RecordFailure(engine int64, threshold int, now, jitter float64, policy Policy) {
	if z.failures == 0 || engine != z.lastFailedEngine {
		z.failures++
		z.lastFailedEngine = engine
	}
	if z.failures >= threshold && now >= z.extendableAt {
		z.extendableAt = now + policy.Initial
		z.backoff.RecordFailure(now, jitter, policy)
	}
}

// RecordAttempt records that an engine of the zone is tried. In a suspect zone it blocks other attempts for the
// policy's initial length, so that one attempt at a time tests whether the zone has recovered.
func (z *ZoneBackoff) RecordAttempt(now float64, policy Policy) {
	if z.Suspect() {
		z.backoff.until = max(z.backoff.until, now+policy.Initial)
	}
}

// RecordSuccess ends the backoff from the zone and clears its failures.
func (z *ZoneBackoff) RecordSuccess() { *z = ZoneBackoff{} }

// Active reports whether the backoff from the zone is still running at the time now.
func (z *ZoneBackoff) Active(now float64) bool { return z.backoff.Active(now) }

// Suspect reports whether the zone has been in backoff and none of its engines has answered since.
func (z *ZoneBackoff) Suspect() bool { return z.backoff.failures > 0 }
