package backoff

import "testing"

// success marks a success in a sequence of engines that fail.
const success = -1

// zoneAfter returns a zone backoff with a threshold of three after failures of these engines, all at time 0.
func zoneAfter(policy Policy, engines ...int64) *ZoneBackoff {
	zone := &ZoneBackoff{}
	for _, engine := range engines {
		if engine == success {
			zone.RecordSuccess()
			continue
		}
		zone.RecordFailure(engine, 3, 0, 1, policy)
	}
	return zone
}

// A zone is backed off from once several engines in a row failed; one that fails again and again, or a success in
// between, tells nothing about the others.
func TestZoneBacksOffAfterFailuresInARow(t *testing.T) {
	policy := Policy{Initial: 250, Max: 2000}
	for _, test := range []struct {
		engines []int64
		active  bool
	}{
		{[]int64{1, 2}, false},
		{[]int64{1, 1, 1, 1}, false},
		{[]int64{1, 2, 3}, true},
		{[]int64{1, 2, 1}, true},
		{[]int64{1, 2, success, 3, 4}, false},
		{[]int64{1, 2, 3, success}, false},
	} {
		if zone := zoneAfter(policy, test.engines...); zone.Active(100) != test.active {
			t.Errorf("%v: active %v, want %v", test.engines, zone.Active(100), test.active)
		}
	}
}

// Failures of attempts that were outstanding do not extend a backoff that has just begun; later ones double it.
func TestZoneBackoffDoublesUntilSuccess(t *testing.T) {
	policy := Policy{Initial: 250, Max: 2000}
	zone := zoneAfter(policy, 1, 2, 3, 4, 5)
	if zone.Active(250) {
		t.Error("failures of outstanding attempts extended the backoff")
	}
	zone.RecordAttempt(260, policy)
	if !zone.Active(300) || zone.Active(510) {
		t.Error("while one engine is tried, others are not backed off from")
	}
	zone.RecordFailure(6, 3, 300, 1, policy)
	if !zone.Active(799) || zone.Active(800) {
		t.Error("the second backoff is not twice as long")
	}
	if zone.RecordSuccess(); zone.Active(300) {
		t.Error("active after a success")
	}
	if zone.RecordAttempt(300, policy); zone.Active(300) {
		t.Error("a zone that is not suspect is backed off from for an attempt")
	}
}

// A zone is suspect from its first backoff until an engine answers, also while no backoff is active.
func TestZoneIsSuspectUntilSuccess(t *testing.T) {
	var zone ZoneBackoff
	policy := Policy{Initial: 100, Max: 400}
	zone.RecordFailure(1, 2, 0, 1, policy)
	if zone.Suspect() {
		t.Error("suspect after one failure of two")
	}
	zone.RecordFailure(2, 2, 10, 1, policy)
	if !zone.Suspect() || zone.Active(1000) || !zone.Suspect() {
		t.Error("not suspect after its backoff")
	}
	if zone.RecordSuccess(); zone.Suspect() {
		t.Error("suspect after a success")
	}
}
