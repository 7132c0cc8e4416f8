package dispatch

import (
	"encoding/json"
	"testing"
	"time"
)

// A controller that takes over knows what the one before it knew: bans, warmth, failures, what classes cost. It guards
// against a cold engine that is flooded after an upgrade, and a ban that ends with the process that was told.
func TestTakeover(t *testing.T) {
	cfg := twoClassConfig()
	cfg.WarmUpDuration, cfg.WarmUpInitialShare, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 12*time.Second, 0.36, 2, 1500*ms
	old := newHarness(t, cfg)
	old.updateEndpoints(ListComplete, testEngines(4)...)
	old.advance(20 * time.Second)
	old.handle(Cordon{Engine: 2})
	old.handle(Cordon{Engine: 3})
	old.handle(Uncordon{Engine: 3})
	for range 30 {
		tr := old.arrive("quick", "")
		old.advance(300 * ms)
		for hop := range tr.engines {
			old.endAttempt(tr, hop, Served, nil)
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
	w := newHarness(t, cfg)
	w.now = old.now
	w.updateEndpoints(ListCached, testEngines(3)...)
	w.handle(RestoreSnapshot{Snapshot: s})
	if !w.controller.Cordoned(2) || w.controller.Cordoned(3) || !w.controller.Knows(4) || w.controller.endpoints.byID[2].listed {
		t.Error("bans or known ids were lost")
	}
	if a, b := old.controller.endpoints.byID[3], w.controller.endpoints.byID[3]; a.warmUp.end != b.warmUp.end || a.warmUp.start != b.warmUp.start || b.warmUp.end <= w.now {
		t.Errorf("engine 3 was warm at %v, now at %v", a.warmUp.end, b.warmUp.end)
	}
	if a, b := old.controller.classes.all[0], w.controller.classes.all[0]; a.estimate.mean != b.estimate.mean || a.estimate.best != b.estimate.best || a.estimate.observations != b.estimate.observations {
		t.Errorf("learned %+v, now %+v", a.estimate.mean, b.estimate.mean)
	}
	bad := s
	bad.Engines = []EngineSnapshot{{ID: 1, Slowness: -1, FailureShare: 7, ConnectionFailures: -1}}
	bad.Classes = []ClassSnapshot{{Name: "quick", MeanServiceTime: -1, Observations: 1}}
	w.handle(RestoreSnapshot{Snapshot: bad})
	if e := w.controller.endpoints.byID[1]; e.health.slowness <= 0 || e.health.failureShare > 1 || w.controller.classes.all[0].estimate.mean <= 0 {
		t.Errorf("what makes no sense was taken over: slow %v, fail %v", e.health.slowness, e.health.failureShare)
	}
}

// What the other process has running counts as own work, towards cold engines too, and is not told back.
func TestPeerUseCounts(t *testing.T) {
	cfg := twoClassConfig()
	cfg.WarmUpDuration, cfg.WarmUpInitialShare, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 12*time.Second, 0.36, 2, 1500*ms
	w := newHarness(t, cfg)
	w.updateEndpoints(ListComplete, testEngines(2)...)
	w.advance(time.Second)
	w.handle(OtherProcessUsage{Engines: []EngineUsage{
		{ID: 1, Threads: 1000, Work: 500, GrantedMB: 10, WarmUpWork: 1e6},
		{ID: 2, Threads: 1000, Work: 500},
	}})
	if tr := w.arrive("big", ""); len(tr.engines) != 0 {
		t.Error("a query was sent to an engine that the other process has filled")
	}
	if list := w.controller.Usage(w.now).Engines; len(list) != 0 {
		t.Errorf("the other process's work is told as own: %+v", list)
	}
	w.handle(OtherProcessUsage{Engines: []EngineUsage{{ID: 1, WarmUpWork: 1e6}}})
	if w.controller.capacity.threads > 4*1 || w.controller.endpoints.byID[1].usage.work > 100 {
		t.Errorf("work that has ended is still counted: %v threads", w.controller.capacity.threads)
	}
	w.controller.fleet.restartWarmUp(w.controller.endpoints.byID[1], w.now)
	for range 20 {
		if tr := w.arrive("quick", ""); len(tr.engines) > 0 && tr.engines[0] == 1 {
			t.Fatal("a cold engine got work beyond what the other process sent it")
		}
		w.advance(10 * ms)
	}
	if list := w.controller.Usage(w.now).Engines; len(list) == 0 {
		t.Error("own work is not told")
	}
	w.handle(OtherProcessUsage{})
	gone := testEngines(1)
	gone[0].State = Removed
	w.updateEndpoints(ListIncremental, gone...)
}

// When the process ends, every request has its answer before.
func TestClosingEndsRequests(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(1)...)
	running := w.arrive("big", "")
	var held []*clientRequest
	for range 40 {
		held = append(held, w.arrive("big", ""))
	}
	w.handle(ShutdownDeadline{At: w.now + 2*time.Second})
	w.advance(2*time.Second + 10*ms)
	if running.answers != 1 {
		t.Error("a running request got no answer")
	}
	for _, tr := range held {
		if tr.answers != 1 {
			t.Fatal("a held request got no answer")
		}
	}
}
