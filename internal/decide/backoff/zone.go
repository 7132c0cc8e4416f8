package backoff

// ZoneBackoff pools the failures of engines that a fault may cut off together. It backs off from the zone once enough
// engines in a row have failed without a success in between; further failures of the same engine tell nothing about the
// others. The zero ZoneBackoff is none.
type ZoneBackoff struct {
	backoff          Backoff
	failures         int   // of engines in a row, without those that repeat the last one
	lastFailedEngine int64 // that failed
	extendableAt     float64
}

// RecordFailure counts a failed attempt on an engine; threshold is the number of engines in a row that have to fail.
// Attempts that were outstanding when a backoff began do not extend it.
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

// RecordAttempt records that an engine is tried. A suspect zone is backed off from meanwhile: one attempt at a time
// shows whether it is back.
func (z *ZoneBackoff) RecordAttempt(now float64, policy Policy) {
	if z.Suspect() {
		z.backoff.until = max(z.backoff.until, now+policy.Initial)
	}
}

// RecordSuccess ends the backoff from the zone.
func (z *ZoneBackoff) RecordSuccess() { *z = ZoneBackoff{} }

// Active tells whether the backoff from the zone lasts.
func (z *ZoneBackoff) Active(now float64) bool { return z.backoff.Active(now) }

// Suspect tells whether the zone was backed off from and none of its engines has answered since.
func (z *ZoneBackoff) Suspect() bool { return z.backoff.failures > 0 }
