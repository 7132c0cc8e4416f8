package fleettest

import (
	"encoding/json"
	"testing"
	"time"

	"windflow/internal/decide/configlog"
)

// Changes reach a complete fleet, alone and in a burst, with the leader killed, a zone's routers restarted at once,
// and regions apart and joined; no router returns to an earlier revision, all end at the same content, and the
// keepers report so.
func TestConfigurationReachesTheFleet(t *testing.T) {
	f := newConfiguredFleet(t, scenarioSizes(t))
	all := f.size.real + f.size.simulated
	everywhere := func(i int, revision uint64, want int) {
		t.Helper()
		if v := f.keepers.AwaitConvergence(i, revision); len(v.InForce) != want || len(v.Rejected)+len(v.Behind) > 0 {
			t.Errorf("revision %d: %d in force, want %d; %d behind, %d rejected", revision, len(v.InForce), want, len(v.Behind),
				len(v.Rejected))
		}
	}
	first, proposedAt := f.change(0)
	f.await(first, proposedAt, everyZone, nil)
	everywhere(0, first, all)

	took := newTimes()
	f.measureDuring("one change after the other", func() {
		for i := range f.size.changes {
			revision, proposedAt := f.change(i % f.size.keepers)
			f.await(revision, proposedAt, everyZone, took)
		}
	})
	f.recordTimes("one change after the other", took)

	took = newTimes()
	var burst map[uint64]time.Time
	var last uint64
	f.measureDuring("a burst", func() { burst, last = f.burst(0, f.size.changes, nil) })
	f.awaitAll(burst, last, took)
	f.recordTimes("a burst", took)
	f.recordRate("a burst", burst)

	took = newTimes()
	leader := f.keepers.Leader(0)
	burst, last = f.burst((leader+1)%f.size.keepers, f.size.changes, func() { f.keepers.Members[leader].Kill() })
	f.awaitAll(burst, last, took)
	f.recordTimes("a burst, the leader killed halfway", took)
	f.recordRate("a burst, the leader killed halfway", burst)
	f.keepers.Restart(leader)
	everywhere(leader, last, all)

	const lost = 5 // the zone
	f.links[lost].Each(members(f.size.keepers), (*Relay).Cut)
	burst, last = f.burst(0, f.size.changes, nil)
	f.await(last, burst[last], func(zone int) bool { return zone != lost }, nil)
	took = newTimes()
	back := time.Now()
	wire := f.links[lost].WireBytes()
	f.links[lost].Each(members(f.size.keepers), (*Relay).Heal)
	f.await(last, back, func(zone int) bool { return zone == lost }, took)
	f.recordTimes("a zone is back", took)
	f.figures["a zone is back, bytes"] = float64(f.links[lost].WireBytes() - wire)
	t.Logf("a zone is back: %d routers, %.0f bytes with headers", took.TotalCount(), f.figures["a zone is back, bytes"])

	f.partitionRegions()
	revision, proposedAt := f.change(0)
	f.await(revision, proposedAt, everyZone, nil)
	everywhere(0, revision, all)
	f.checkSameContent(revision)
	if sum := f.simulated.Totals(); sum.Failed > 0 || sum.Served == 0 {
		t.Errorf("%+v: statements failed, or none was served", sum)
	}
	f.writeScale()
}

// partitionRegions cuts the regions off from each other: the one with the majority continues to make changes, the
// other keeps what it has and changes nothing; joined, all have what the majority made.
func (f *configuredFleet) partitionRegions() {
	t := f.t
	major := members(f.size.keepers)[:f.size.keepers/2+1]
	minor := members(f.size.keepers)[f.size.keepers/2+1:]
	mine := [2][]int{major, minor}
	f.keepers.SetPartitioned(true, major, minor)
	for zone, d := range f.links {
		for side, keepers := range mine {
			if side != regionOf(zone) {
				d.Each(keepers, (*Relay).Cut)
			}
		}
	}
	took := newTimes()
	var last uint64
	var proposedAt time.Time
	for range (f.size.changes + 3) / 4 {
		last, proposedAt = f.change(0)
		f.await(last, proposedAt, func(zone int) bool { return regionOf(zone) == 0 }, took)
	}
	f.recordTimes("changes in the region with the majority, the other one cut off", took)
	var done configlog.Result
	err := f.keepers.Members[minor[0]].call(20*time.Second, "POST", "/v1/changes",
		configlog.Change{
			ID:  "without a majority",
			Put: map[string]json.RawMessage{"/settings/over-share-worth": json.RawMessage("0.9")},
		}, &done)
	if err == nil {
		t.Errorf("a region without a majority made revision %d", done.Revision)
	}
	f.simulated.Await(func(state map[int]*RouterStatus) string {
		for n, s := range state {
			if regionOf(n%len(Zones)) == 1 && s.Last() >= last {
				t.Errorf("simulated router %d has revision %d of the other region", n, s.Last())
			}
		}
		return ""
	})
	took = newTimes()
	joined := time.Now()
	f.keepers.SetPartitioned(false, major, minor)
	for _, d := range f.links {
		d.Each(members(f.size.keepers), (*Relay).Heal)
	}
	f.await(last, joined, func(zone int) bool { return regionOf(zone) == 1 }, took)
	f.recordTimes("the region that was cut off, from the joining on", took)
}

// checkSameContent looks whether all simulated routers have one content.
func (f *configuredFleet) checkSameContent(revision uint64) {
	hashes := map[string]int{}
	f.simulated.Await(func(state map[int]*RouterStatus) string {
		for _, s := range state {
			hashes[s.Hash]++
		}
		return ""
	})
	if len(hashes) != 1 {
		f.t.Errorf("at revision %d the routers have %d contents: %v", revision, len(hashes), hashes)
	}
}
