package dispatch

import (
	"encoding/json"
	"testing"
	"time"
)

// newHarnessWithHistory returns a harness whose controller knows cordons, a warming engine and the service times of
// its classes.
func newHarnessWithHistory(t *testing.T, config Config) *harness {
	t.Helper()
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(4)...)
	h.advance(20 * time.Second)
	h.handle(Cordon{Engine: 2})
	h.handle(Cordon{Engine: 3})
	h.handle(Uncordon{Engine: 3})
	for range 30 {
		client := h.arrive("quick", "")
		h.advance(300 * ms)
		for attempt := range client.engines {
			h.endAttempt(client, attempt, Served, nil)
		}
	}
	return h
}

// encodedSnapshot returns the controller's snapshot after encoding and decoding, as another process gets it.
func (h *harness) encodedSnapshot() (snapshot Snapshot) {
	h.t.Helper()
	text, err := json.Marshal(h.controller.Snapshot())
	if err != nil {
		h.t.Fatal(err)
	}
	if err := json.Unmarshal(text, &snapshot); err != nil {
		h.t.Fatal(err)
	}
	return snapshot
}

// A successor takes over cordons, warm-ups, failures and service times from its predecessor. This guards against
// overloading a warming engine after a hot restart, and against a cordon that ends with the process that received it.
func TestSnapshotIsRestored(t *testing.T) {
	config := withWarmUp(twoClassConfig())
	predecessor := newHarnessWithHistory(t, config)
	snapshot := predecessor.encodedSnapshot()
	h := newHarness(t, config)
	h.now = predecessor.now
	h.updateEndpoints(ListCached, testEngines(3)...)
	h.handle(RestoreSnapshot{Snapshot: snapshot})
	c := h.controller
	if !c.Cordoned(2) || c.Cordoned(3) || !c.Knows(4) || c.endpoints.byID[2].listed {
		t.Error("cordons or known engines were lost")
	}
	before, after := predecessor.controller.endpoints.byID[3].warmUp, c.endpoints.byID[3].warmUp
	if before.end != after.end || before.start != after.start || after.end <= h.now {
		t.Errorf("warm-up of engine 3 ended at %v before the restart and ends at %v after it", before.end, after.end)
	}
	learned, restored := predecessor.controller.classes.all[0].estimate, c.classes.all[0].estimate
	if learned != restored {
		t.Errorf("learned estimate is %+v, restored estimate is %+v", learned, restored)
	}
}

// Invalid values are not restored.
func TestInvalidSnapshotIsIgnored(t *testing.T) {
	config := withWarmUp(twoClassConfig())
	h := newHarnessWithHistory(t, config)
	snapshot := h.encodedSnapshot()
	snapshot.Engines = []EngineSnapshot{{ID: 1, Slowness: -1, FailureShare: 7, ConnectionFailures: -1}}
	snapshot.Classes = []ClassSnapshot{{Name: "quick", MeanServiceTime: -1, Observations: 1}}
	h.handle(RestoreSnapshot{Snapshot: snapshot})
	e := h.controller.endpoints.byID[1]
	if e.health.slowness <= 0 || e.health.failureShare > 1 || h.controller.classes.all[0].estimate.mean <= 0 {
		t.Errorf("restored slowness %v, failure share %v", e.health.slowness, e.health.failureShare)
	}
}

// The usage of the other process counts as this process's own, also towards warming engines, and is not reported
// back.
func TestOtherProcessUsageCounts(t *testing.T) {
	h := newHarness(t, withWarmUp(twoClassConfig()))
	h.updateEndpoints(ListComplete, testEngines(2)...)
	h.advance(time.Second)
	h.handle(OtherProcessUsage{Engines: []EngineUsage{
		{ID: 1, Threads: 1000, Work: 500, GrantedMB: 10, WarmUpWork: 1e6},
		{ID: 2, Threads: 1000, Work: 500},
	}})
	c := h.controller
	if client := h.arrive("big", ""); len(client.engines) != 0 {
		t.Error("started on an engine that the other process has filled")
	}
	if own := c.Usage(h.now).Engines; len(own) != 0 {
		t.Errorf("the other process's usage is reported as own: %+v", own)
	}
	h.handle(OtherProcessUsage{Engines: []EngineUsage{{ID: 1, WarmUpWork: 1e6}}})
	if c.capacity.threads > 4*1 || c.endpoints.byID[1].usage.work > 100 {
		t.Errorf("ended work is still counted: %v threads", c.capacity.threads)
	}
	c.fleet.restartWarmUp(c.endpoints.byID[1], h.now)
	for range 20 {
		if client := h.arrive("quick", ""); len(client.engines) > 0 && client.engines[0] == 1 {
			t.Fatal("a warming engine got work beyond what the other process sent it")
		}
		h.advance(10 * ms)
	}
	if own := c.Usage(h.now).Engines; len(own) == 0 {
		t.Error("own usage is not reported")
	}
	h.handle(OtherProcessUsage{})
	removed := testEngines(1)
	removed[0].State = Removed
	h.updateEndpoints(ListIncremental, removed...)
}
