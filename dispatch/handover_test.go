package dispatch

import (
	"encoding/json"
	"testing"
	"time"
)

// A controller that takes over knows what the one before it knew: bans, warmth, failures, what classes cost. It guards
// against a cold engine that is flooded after an upgrade, and a ban that ends with the process that was told.
func TestTakeover(t *testing.T) {
	cfg := twoClasses()
	cfg.WarmUpDuration, cfg.WarmUpInitialShare, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 12*time.Second, 0.36, 2, 1500*ms
	old := newWorld(t, cfg)
	old.list(ListComplete, engines(4)...)
	old.tick(20 * time.Second)
	old.handle(Cordon{Engine: 2})
	old.handle(Cordon{Engine: 3})
	old.handle(Uncordon{Engine: 3})
	for range 30 {
		tr := old.ask("quick", "")
		old.tick(300 * ms)
		for hop := range tr.engines {
			old.endHop(tr, hop, Served, nil)
		}
	}
	text, err := json.Marshal(old.c.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var s Snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	w := newWorld(t, cfg)
	w.now = old.now
	w.list(ListCached, engines(3)...)
	w.handle(RestoreSnapshot{Snapshot: s})
	if !w.c.Cordoned(2) || w.c.Cordoned(3) || !w.c.Knows(4) || w.c.endpoints.byID[2].listed {
		t.Error("bans or known ids were lost")
	}
	if a, b := old.c.endpoints.byID[3], w.c.endpoints.byID[3]; a.warmUp.end != b.warmUp.end || a.warmUp.start != b.warmUp.start || b.warmUp.end <= w.now {
		t.Errorf("engine 3 was warm at %v, now at %v", a.warmUp.end, b.warmUp.end)
	}
	if a, b := old.c.classes.all[0], w.c.classes.all[0]; a.estimate.mean != b.estimate.mean || a.estimate.best != b.estimate.best || a.estimate.observations != b.estimate.observations {
		t.Errorf("learned %+v, now %+v", a.estimate.mean, b.estimate.mean)
	}
	bad := s
	bad.Engines = []EngineSnapshot{{ID: 1, Slowness: -1, FailureShare: 7, ConnectionFailures: -1}}
	bad.Classes = []ClassSnapshot{{Name: "quick", MeanServiceTime: -1, Observations: 1}}
	w.handle(RestoreSnapshot{Snapshot: bad})
	if e := w.c.endpoints.byID[1]; e.health.slowness <= 0 || e.health.failureShare > 1 || w.c.classes.all[0].estimate.mean <= 0 {
		t.Errorf("what makes no sense was taken over: slow %v, fail %v", e.health.slowness, e.health.failureShare)
	}
}

// What the other process has running counts as own work, towards cold engines too, and is not told back.
func TestPeerUseCounts(t *testing.T) {
	cfg := twoClasses()
	cfg.WarmUpDuration, cfg.WarmUpInitialShare, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 12*time.Second, 0.36, 2, 1500*ms
	w := newWorld(t, cfg)
	w.list(ListComplete, engines(2)...)
	w.tick(time.Second)
	w.handle(OtherProcessUsage{Engines: []EngineUsage{
		{ID: 1, Threads: 1000, Work: 500, GrantedMB: 10, WarmUpWork: 1e6},
		{ID: 2, Threads: 1000, Work: 500},
	}})
	if tr := w.ask("big", ""); len(tr.engines) != 0 {
		t.Error("a query was sent to an engine that the other process has filled")
	}
	if list := w.c.Usage(w.now).Engines; len(list) != 0 {
		t.Errorf("the other process's work is told as own: %+v", list)
	}
	w.handle(OtherProcessUsage{Engines: []EngineUsage{{ID: 1, WarmUpWork: 1e6}}})
	if w.c.capacity.threads > 4*1 || w.c.endpoints.byID[1].usage.work > 100 {
		t.Errorf("work that has ended is still counted: %v threads", w.c.capacity.threads)
	}
	w.c.fleet.restartWarmUp(w.c.endpoints.byID[1], w.now)
	for range 20 {
		if tr := w.ask("quick", ""); len(tr.engines) > 0 && tr.engines[0] == 1 {
			t.Fatal("a cold engine got work beyond what the other process sent it")
		}
		w.tick(10 * ms)
	}
	if list := w.c.Usage(w.now).Engines; len(list) == 0 {
		t.Error("own work is not told")
	}
	w.handle(OtherProcessUsage{})
	gone := engines(1)
	gone[0].State = Removed
	w.list(ListIncremental, gone...)
}

// When the process ends, every request has its answer before.
func TestClosingEndsRequests(t *testing.T) {
	w := newWorld(t, twoClasses())
	w.list(ListComplete, engines(1)...)
	running := w.ask("big", "")
	var held []*track
	for range 40 {
		held = append(held, w.ask("big", ""))
	}
	w.handle(ShutdownDeadline{At: w.now + 2*time.Second})
	w.tick(2*time.Second + 10*ms)
	if running.answers != 1 {
		t.Error("a running request got no answer")
	}
	for _, tr := range held {
		if tr.answers != 1 {
			t.Fatal("a held request got no answer")
		}
	}
}
