package fleettest

import (
	"encoding/json"
	"testing"
	"time"

	"windflow/internal/decide/configlog"
)

// Changes reach a whole fleet, alone and in a burst, with the leader killed, a zone's routers back at once, and regions apart
// and joined; nobody goes back, all end at the same content, and the keepers say so.
func TestConfigurationReachesTheFleet(t *testing.T) {
	f := newFollowing(t, rolloutSizes(t))
	all := f.size.real + f.size.hollow
	everywhere := func(i int, revision uint64, want int) {
		t.Helper()
		if v := f.keepers.Everywhere(i, revision); len(v.InForce) != want || len(v.Rejected)+len(v.Behind) > 0 {
			t.Errorf("revision %d: %d in force, want %d; %d behind, %d refused", revision, len(v.InForce), want, len(v.Behind), len(v.Rejected))
		}
	}
	first, asked := f.change(0)
	f.await(first, asked, everyZone, nil)
	everywhere(0, first, all)

	took := newTimes()
	f.during("one change after the other", func() {
		for i := range f.size.changes {
			revision, asked := f.change(i % f.size.keepers)
			f.await(revision, asked, everyZone, took)
		}
	})
	f.told("one change after the other", took)

	took = newTimes()
	var burst map[uint64]time.Time
	var last uint64
	f.during("a burst", func() { burst, last = f.burst(0, f.size.changes, nil) })
	f.awaitAll(burst, last, took)
	f.told("a burst", took)
	f.paced("a burst", burst)

	took = newTimes()
	leader := f.keepers.Leader(0)
	burst, last = f.burst((leader+1)%f.size.keepers, f.size.changes, func() { f.keepers.Members[leader].Kill() })
	f.awaitAll(burst, last, took)
	f.told("a burst, the leader killed halfway", took)
	f.paced("a burst, the leader killed halfway", burst)
	f.keepers.Restart(leader)
	everywhere(leader, last, all)

	const lost = 5 // the zone
	f.doors[lost].Each(members(f.size.keepers), (*Relay).Cut)
	burst, last = f.burst(0, f.size.changes, nil)
	f.await(last, burst[last], func(zone int) bool { return zone != lost }, nil)
	took = newTimes()
	back := time.Now()
	wire := f.doors[lost].Wire()
	f.doors[lost].Each(members(f.size.keepers), (*Relay).Mend)
	f.await(last, back, func(zone int) bool { return zone == lost }, took)
	f.told("a zone is back", took)
	f.figures["a zone is back, bytes"] = float64(f.doors[lost].Wire() - wire)
	t.Logf("a zone is back: %d routers, %.0f bytes with headers", took.TotalCount(), f.figures["a zone is back, bytes"])

	f.apart()
	revision, asked := f.change(0)
	f.await(revision, asked, everyZone, nil)
	everywhere(0, revision, all)
	f.same(revision)
	if sum := f.hollow.Totals(); sum.Failed > 0 || sum.Served == 0 {
		t.Errorf("%+v: statements failed, or none was served", sum)
	}
	f.record()
}

// apart cuts the regions off from each other: the one with the majority goes on changing, the other keeps what it has and
// changes nothing; joined, all have what the majority made.
func (f *following) apart() {
	t := f.t
	major := members(f.size.keepers)[:f.size.keepers/2+1]
	minor := members(f.size.keepers)[f.size.keepers/2+1:]
	mine := [2][]int{major, minor}
	f.keepers.Apart(true, major, minor)
	for zone, d := range f.doors {
		for side, keepers := range mine {
			if side != regionOf(zone) {
				d.Each(keepers, (*Relay).Cut)
			}
		}
	}
	took := newTimes()
	var last uint64
	var asked time.Time
	for range (f.size.changes + 3) / 4 {
		last, asked = f.change(0)
		f.await(last, asked, func(zone int) bool { return regionOf(zone) == 0 }, took)
	}
	f.told("changes in the region with the majority, the other one cut off", took)
	var done configlog.Result
	err := f.keepers.Members[minor[0]].call(20*time.Second, "POST", "/v1/changes",
		configlog.Change{ID: "without a majority", Put: map[string]json.RawMessage{"/settings/over-share-worth": json.RawMessage("0.9")}}, &done)
	if err == nil {
		t.Errorf("a region without a majority made revision %d", done.Revision)
	}
	f.hollow.Await(func(state map[int]*Standing) string {
		for n, s := range state {
			if regionOf(n%len(Zones)) == 1 && s.Last() >= last {
				t.Errorf("hollow router %d has revision %d of the other region", n, s.Last())
			}
		}
		return ""
	})
	took = newTimes()
	joined := time.Now()
	f.keepers.Apart(false, major, minor)
	for _, d := range f.doors {
		d.Each(members(f.size.keepers), (*Relay).Mend)
	}
	f.await(last, joined, func(zone int) bool { return regionOf(zone) == 1 }, took)
	f.told("the region that was cut off, from the joining on", took)
}

// same looks whether all hollow routers have one content.
func (f *following) same(revision uint64) {
	hashes := map[string]int{}
	f.hollow.Await(func(state map[int]*Standing) string {
		for _, s := range state {
			hashes[s.Hash]++
		}
		return ""
	})
	if len(hashes) != 1 {
		f.t.Errorf("at revision %d the routers hold %d contents: %v", revision, len(hashes), hashes)
	}
}
