package backoff

import "testing"

// Guards against a backoff that does not double, exceeds its maximum, ignores jitter, or keeps its length after a
// success.
func TestBackoffDoublesUntilSuccess(t *testing.T) {
	var b Backoff
	policy := Policy{Initial: 250, Max: 1500}
	now := 1000.0
	for i, want := range []float64{250, 500, 1000, 1500, 1500} {
		b.RecordFailure(now, 1, policy)
		if !b.Active(now+want-1) || b.Active(now+want) {
			t.Errorf("failure %d: backoff ends at %v, want %v", i, b.until, now+want)
		}
		now += want
	}
	b.RecordFailure(now, 0.5, policy)
	if b.Active(now+750) || !b.Active(now+749) {
		t.Error("with a jitter of 0.5 and a length of 1500 ms, the backoff lasts", b.until-now)
	}
	b.RecordSuccess()
	if b.Active(now) {
		t.Error("backoff is active after a success")
	}
	if b.RecordFailure(now, 1, policy); b.Active(now + 250) {
		t.Error("the first backoff after a success is longer than the initial length")
	}
}
