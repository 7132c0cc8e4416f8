package backoff

import "testing"

// success represents a success in a list of outcomes; any other number is the engine of a failure.
const success = -1

// zoneAfter returns a ZoneBackoff with a threshold of three failures, after failures of the given engines at time 0.
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

// Checks that a zone enters backoff only after several different engines have failed in a row. Guards against a
// backoff from the whole zone because one engine fails repeatedly, or although an engine answered in between.
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

// Checks that failures of attempts that were running when the backoff started do not extend it, and that later
// failures double it. Guards against a zone that stays in backoff for too long after one fault.
func TestZoneBackoffDoublesUntilSuccess(t *testing.T) {
	policy := Policy{Initial: 250, Max: 2000}
	zone := zoneAfter(policy, 1, 2, 3, 4, 5)
	if zone.Active(250) {
		t.Error("failures of attempts that were already running extended the backoff")
	}
	zone.RecordAttempt(260, policy)
	if !zone.Active(300) || zone.Active(510) {
		t.Error("other attempts are not blocked for 250 ms while one engine of a suspect zone is tried")
	}
	zone.RecordFailure(6, 3, 300, 1, policy)
	if !zone.Active(799) || zone.Active(800) {
		t.Error("the second backoff does not last 500 ms, twice the first")
	}
	if zone.RecordSuccess(); zone.Active(300) {
		t.Error("backoff is active after a success")
	}
	if zone.RecordAttempt(300, policy); zone.Active(300) {
		t.Error("an attempt started a backoff in a zone that is not suspect")
	}
}

// Checks that a zone is suspect from its first backoff until an engine answers, also after the backoff has ended.
// Guards against sending full traffic to a zone that is still down when its backoff ends.
func TestZoneIsSuspectUntilSuccess(t *testing.T) {
	var zone ZoneBackoff
	policy := Policy{Initial: 100, Max: 400}
	zone.RecordFailure(1, 2, 0, 1, policy)
	if zone.Suspect() {
		t.Error("zone is suspect after one failure with a threshold of two")
	}
	zone.RecordFailure(2, 2, 10, 1, policy)
	if !zone.Suspect() || zone.Active(1000) || !zone.Suspect() {
		t.Error("zone is not suspect after its backoff has ended without a success")
	}
	if zone.RecordSuccess(); zone.Suspect() {
		t.Error("zone is suspect after a success")
	}
}
