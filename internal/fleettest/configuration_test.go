package fleettest

import (
	"encoding/json"
	"testing"
	"time"

	"windflow/internal/decide/configlog"
)

// Configuration changes reach all routers of a fleet: one by one and in a burst, while the leader is killed, after a
// zone was disconnected, and after a partition between the regions. No router returns to an earlier revision, all have
// the same content at the end, and the keepers report the revisions as in force everywhere.
func TestConfigurationReachesTheFleet(t *testing.T) {
	f := newConfiguredFleet(t, scenarioSizes(t))
	routers := f.size.real + f.size.simulated
	checkInForce := func(i int, revision uint64, want int) {
		t.Helper()
		if v := f.keepers.AwaitConvergence(i, revision); len(v.InForce) != want || len(v.Rejected)+len(v.Behind) > 0 {
			t.Errorf("revision %d: in force at %d routers, want %d; %d routers behind, %d rejected it, want none",
				revision, len(v.InForce), want, len(v.Behind), len(v.Rejected))
		}
	}
	first, proposedAt := f.change(0)
	f.await(first, proposedAt, everyZone, nil)
	checkInForce(0, first, routers)

	durations := newDurations()
	f.measureDuring("one change after the other", func() {
		for i := range f.size.changes {
			revision, proposedAt := f.change(i % f.size.keepers)
			f.await(revision, proposedAt, everyZone, durations)
		}
	})
	f.recordDurations("one change after the other", durations)

	durations = newDurations()
	var burst map[uint64]time.Time
	var last uint64
	f.measureDuring("a burst", func() { burst, last = f.burst(0, f.size.changes, nil) })
	f.awaitAll(burst, last, durations)
	f.recordDurations("a burst", durations)
	f.recordRate("a burst", burst)

	durations = newDurations()
	leader := f.keepers.Leader(0)
	burst, last = f.burst((leader+1)%f.size.keepers, f.size.changes, func() { f.keepers.Members[leader].Kill() })
	f.awaitAll(burst, last, durations)
	f.recordDurations("a burst, the leader killed halfway", durations)
	f.recordRate("a burst, the leader killed halfway", burst)
	f.keepers.Restart(leader)
	checkInForce(leader, last, routers)

	const lostZone = 5 // index in Zones
	f.links[lostZone].Each(members(f.size.keepers), (*Relay).Cut)
	burst, last = f.burst(0, f.size.changes, nil)
	f.await(last, burst[last], func(zone int) bool { return zone != lostZone }, nil)
	durations = newDurations()
	reconnectedAt := time.Now()
	wire := f.links[lostZone].WireBytes()
	f.links[lostZone].Each(members(f.size.keepers), (*Relay).Heal)
	f.await(last, reconnectedAt, func(zone int) bool { return zone == lostZone }, durations)
	f.recordDurations("a zone is back", durations)
	f.figures["a zone is back, bytes"] = float64(f.links[lostZone].WireBytes() - wire)
	t.Logf("a zone is back: %d routers, %.0f bytes with headers", durations.TotalCount(), f.figures["a zone is back, bytes"])

	f.partitionRegions()
	revision, proposedAt := f.change(0)
	f.await(revision, proposedAt, everyZone, nil)
	checkInForce(0, revision, routers)
	f.checkSameContent(revision)
	if sum := f.simulated.Totals(); sum.Failed > 0 || sum.Served == 0 {
		t.Errorf("totals %+v, want some statements served and none failed", sum)
	}
	f.writeScale()
}

// partitionRegions disconnects the regions from each other. The region with the majority of the keepers continues to
// accept changes; the other one accepts none, and its routers keep their revision. After the regions have reconnected,
// all routers receive the changes of the majority.
func (f *configuredFleet) partitionRegions() {
	t := f.t
	majority := members(f.size.keepers)[:f.size.keepers/2+1]
	minority := members(f.size.keepers)[f.size.keepers/2+1:]
	keepersOfRegion := [2][]int{majority, minority}
	f.keepers.SetPartitioned(true, majority, minority)
	for zone, d := range f.links {
		for region, keepers := range keepersOfRegion {
			if region != regionOf(zone) {
				d.Each(keepers, (*Relay).Cut)
			}
		}
	}
	durations := newDurations()
	var last uint64
	var proposedAt time.Time
	for range (f.size.changes + 3) / 4 {
		last, proposedAt = f.change(0)
		f.await(last, proposedAt, func(zone int) bool { return regionOf(zone) == 0 }, durations)
	}
	f.recordDurations("changes in the region with the majority, the other one cut off", durations)
	var done configlog.Result
	err := f.keepers.Members[minority[0]].call(20*time.Second, "POST", "/v1/changes",
		configlog.Change{
			ID:  "without a majority",
			Put: map[string]json.RawMessage{"/settings/over-share-worth": json.RawMessage("0.9")},
		}, &done)
	if err == nil {
		t.Errorf("the region without a majority accepted a change as revision %d", done.Revision)
	}
	f.simulated.Await(func(state map[int]*RouterStatus) string {
		for n, s := range state {
			if regionOf(n%len(Zones)) == 1 && s.Last() >= last {
				t.Errorf("simulated router %d received revision %d of the other region during the partition", n, s.Last())
			}
		}
		return ""
	})
	durations = newDurations()
	reconnectedAt := time.Now()
	f.keepers.SetPartitioned(false, majority, minority)
	for _, d := range f.links {
		d.Each(members(f.size.keepers), (*Relay).Heal)
	}
	f.await(last, reconnectedAt, func(zone int) bool { return regionOf(zone) == 1 }, durations)
	f.recordDurations("the region that was cut off, from the joining on", durations)
}

// checkSameContent fails the test unless all simulated routers have the same content.
func (f *configuredFleet) checkSameContent(revision uint64) {
	hashes := map[string]int{}
	f.simulated.Await(func(state map[int]*RouterStatus) string {
		for _, s := range state {
			hashes[s.Hash]++
		}
		return ""
	})
	if len(hashes) != 1 {
		f.t.Errorf("at revision %d the routers have %d different contents, want 1: %v", revision, len(hashes), hashes)
	}
}
