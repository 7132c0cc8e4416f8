package dispatch

import (
	"encoding/json"
	"testing"
	"time"
)

// A controller that takes over knows what the one before it knew: bans, warmth, failures, what classes cost. It guards
// against a cold engine that is flooded after an upgrade, and a ban that ends with the process that was told.
func TestSnapshotIsRestored(t *testing.T) {
	config := twoClassConfig()
	config.WarmUpDuration, config.WarmUpInitialShare, config.WarmUpOverloadFactor, config.WarmUpOverloadWindow = 12*time.Second, 0.36, 2, 1500*ms
	old := newHarness(t, config)
	old.updateEndpoints(ListComplete, testEngines(4)...)
	old.advance(20 * time.Second)
	old.handle(Cordon{Engine: 2})
	old.handle(Cordon{Engine: 3})
	old.handle(Uncordon{Engine: 3})
	for range 30 {
		client := old.arrive("quick", "")
		old.advance(300 * ms)
		for hop := range client.engines {
			old.endAttempt(client, hop, Served, nil)
		}
	}
	text, err := json.Marshal(old.controller.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var s Snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	h := newHarness(t, config)
	h.now = old.now
	h.updateEndpoints(ListCached, testEngines(3)...)
	h.handle(RestoreSnapshot{Snapshot: s})
	if !h.controller.Cordoned(2) || h.controller.Cordoned(3) || !h.controller.Knows(4) || h.controller.endpoints.byID[2].listed {
		t.Error("bans or known ids were lost")
	}
	if a, b := old.controller.endpoints.byID[3], h.controller.endpoints.byID[3]; a.warmUp.end != b.warmUp.end || a.warmUp.start != b.warmUp.start || b.warmUp.end <= h.now {
		t.Errorf("engine 3 was warm at %v, now at %v", a.warmUp.end, b.warmUp.end)
	}
	if a, b := old.controller.classes.all[0], h.controller.classes.all[0]; a.estimate.mean != b.estimate.mean || a.estimate.best != b.estimate.best || a.estimate.observations != b.estimate.observations {
		t.Errorf("learned %+v, now %+v", a.estimate.mean, b.estimate.mean)
	}
	bad := s
	bad.Engines = []EngineSnapshot{{ID: 1, Slowness: -1, FailureShare: 7, ConnectionFailures: -1}}
	bad.Classes = []ClassSnapshot{{Name: "quick", MeanServiceTime: -1, Observations: 1}}
	h.handle(RestoreSnapshot{Snapshot: bad})
	if e := h.controller.endpoints.byID[1]; e.health.slowness <= 0 || e.health.failureShare > 1 || h.controller.classes.all[0].estimate.mean <= 0 {
		t.Errorf("what makes no sense was taken over: slow %v, fail %v", e.health.slowness, e.health.failureShare)
	}
}

// What the other process has running counts as own work, towards cold engines too, and is not told back.
func TestOtherProcessUsageCounts(t *testing.T) {
	config := twoClassConfig()
	config.WarmUpDuration, config.WarmUpInitialShare, config.WarmUpOverloadFactor, config.WarmUpOverloadWindow = 12*time.Second, 0.36, 2, 1500*ms
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(2)...)
	h.advance(time.Second)
	h.handle(OtherProcessUsage{Engines: []EngineUsage{
		{ID: 1, Threads: 1000, Work: 500, GrantedMB: 10, WarmUpWork: 1e6},
		{ID: 2, Threads: 1000, Work: 500},
	}})
	if client := h.arrive("big", ""); len(client.engines) != 0 {
		t.Error("a query was sent to an engine that the other process has filled")
	}
	if list := h.controller.Usage(h.now).Engines; len(list) != 0 {
		t.Errorf("the other process's work is told as own: %+v", list)
	}
	h.handle(OtherProcessUsage{Engines: []EngineUsage{{ID: 1, WarmUpWork: 1e6}}})
	if h.controller.capacity.threads > 4*1 || h.controller.endpoints.byID[1].usage.work > 100 {
		t.Errorf("work that has ended is still counted: %v threads", h.controller.capacity.threads)
	}
	h.controller.fleet.restartWarmUp(h.controller.endpoints.byID[1], h.now)
	for range 20 {
		if client := h.arrive("quick", ""); len(client.engines) > 0 && client.engines[0] == 1 {
			t.Fatal("a cold engine got work beyond what the other process sent it")
		}
		h.advance(10 * ms)
	}
	if list := h.controller.Usage(h.now).Engines; len(list) == 0 {
		t.Error("own work is not told")
	}
	h.handle(OtherProcessUsage{})
	gone := testEngines(1)
	gone[0].State = Removed
	h.updateEndpoints(ListIncremental, gone...)
}
