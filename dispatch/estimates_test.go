package dispatch

import (
	"math"
	"testing"
	"time"
)

// estimateClass has a latency objective of four seconds, so that the initial estimate is one second on each of two
// threads.
var estimateClass = Class{LatencyObjective: 4 * time.Second, Threads: 2}

func TestServiceEstimateStartsFromObjective(t *testing.T) {
	estimate := newServiceEstimate(estimateClass)
	want := serviceEstimate{mean: 2, bounded: 2, best: 2, clientEstimate: 1, grantCorrection: 1}
	if estimate != want {
		t.Errorf("%+v, want %+v", estimate, want)
	}
	if got := estimate.learnClientEstimate(0.5, 8); got != 0.5 || estimate.usualWork() != 0.5 {
		t.Errorf("first estimate is counted as %v and usual work is %v, want 0.5 for both", got, estimate.usualWork())
	}
}

func TestServiceEstimateObserves(t *testing.T) {
	for _, test := range []struct {
		name         string
		observations int
		serviceTime  float64
		largeFleet   bool
		mean, best   float64
	}{
		{"one", 1, 3, false, 3, 3},
		{"an extreme one is bounded", 1, 1e9, false, 2 * maxServiceTimeFactor, 2 * maxServiceTimeFactor},
		{"several", 7, 3, true, 3, 3},
		{"the best mean of a large fleet is fixed sooner", 20, 3, true, 3, 3},
		{"shorter times lower the best mean", 40, 1, false, 1, 1},
	} {
		estimate := newServiceEstimate(estimateClass)
		env := &environment{now: time.Hour}
		for range test.observations {
			estimate.observe(env, test.serviceTime, test.largeFleet)
		}
		if math.Abs(estimate.mean-test.mean) > 1e-9 || math.Abs(estimate.best-test.best) > 1e-9 {
			t.Errorf("%s: mean is %v and best mean is %v", test.name, estimate.mean, estimate.best)
		}
	}
}

// After the learning phase, the best mean does not follow a congested fleet, but the service time ratio does.
func TestServiceTimeRatioShowsCongestion(t *testing.T) {
	for largeFleet, learning := range map[bool]int{true: fewObservations, false: manyObservations} {
		estimate := newServiceEstimate(estimateClass)
		env := &environment{now: time.Hour}
		for range learning {
			estimate.observe(env, 1, largeFleet)
		}
		if ratio := estimate.serviceTimeRatio(); math.Abs(ratio-1) > 1e-9 {
			t.Errorf("large fleet %v: service time ratio is %v without congestion, want 1", largeFleet, ratio)
		}
		for range 200 {
			estimate.observe(env, 3, largeFleet)
		}
		if ratio := estimate.serviceTimeRatio(); math.Abs(estimate.best-1) > 1e-9 || ratio < 2.9 {
			t.Errorf("large fleet %v: best mean is %v and ratio is %v under congestion",
				largeFleet, estimate.best, ratio)
		}
	}
}

func TestServiceEstimateRestoresOnlyValidSnapshots(t *testing.T) {
	learned := serviceEstimate{
		mean: 3, bounded: 2, best: 1, clientEstimate: 4, grantCorrection: 0.5, observations: 6, observedAt: time.Second,
	}
	for name, test := range map[string]struct {
		change func(*ClassSnapshot)
		taken  bool
	}{
		"valid":           {func(*ClassSnapshot) {}, true},
		"mean NaN":        {func(s *ClassSnapshot) { s.MeanServiceTime = math.NaN() }, false},
		"no observations": {func(s *ClassSnapshot) { s.Observations = 0 }, false},
		"best below zero": {func(s *ClassSnapshot) { s.BestServiceTime = -1 }, false},
		"no correction":   {func(s *ClassSnapshot) { s.GrantCorrection = 0 }, false},
	} {
		snapshot := learned.snapshot("a")
		test.change(&snapshot)
		estimate, want := newServiceEstimate(estimateClass), newServiceEstimate(estimateClass)
		if test.taken {
			want = learned
		}
		if estimate.restore(snapshot); estimate != want {
			t.Errorf("%s: %+v, want %+v", name, estimate, want)
		}
	}
}

// If engines send no progress reports, grants follow the memory that outcomes report. This guards against treating
// missing spill reports as proof that less memory suffices: grants then fell to 0.3 of the estimate, and 0.4 to 0.8
// of all queries spilled.
func TestGrantFollowsNeed(t *testing.T) {
	for _, test := range []struct{ needOverEstimate, want float64 }{{1, 1}, {1.5, 1.5}, {0.7, 0.7}, {0, 1}} {
		h := newHarness(t, twoClassConfig())
		h.updateEndpoints(ListComplete, testEngines(3)...)
		for range 400 {
			client := h.arriveWith(Arrival{
				Class: "quick", Estimate: 100 * ms, NeedMB: 100, TimeLeft: 3 * time.Second,
			})
			h.now += 100 * ms
			client.answers = 1
			h.handle(AttemptEnd{Request: client.id, Outcome: Served, Last: true, NeedMB: 100 * test.needOverEstimate})
			client.outcomes[0] = Served
		}
		got := 0.0
		for _, action := range h.actions {
			if resources, ok := action.(SetResources); ok {
				got = resources.GrantMB / 100 / grantHeadroom
			}
		}
		if math.Abs(got-test.want) > 0.05 {
			t.Errorf("need of %v times the estimate: grant without headroom is %v times the estimate, want %v",
				test.needOverEstimate, got, test.want)
		}
	}
}

// A class whose answers were slow during congestion is tried again after it had no answer for a while.
func TestSlowMeanDecays(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	estimate := &h.controller.classes.all[1].estimate
	env := h.controller.env
	estimate.best, estimate.mean, estimate.observedAt, env.now = 1, 10, h.now, h.now
	before := estimate.current(env)
	env.now += 4 * evidenceDecayTime
	if after := estimate.current(env); before != 10 || after > 1.5 {
		t.Errorf("mean is %v, and %v after four decay times", before, after)
	}
}

// An extreme estimate changes the mean of its class only slightly and does not wait for memory that no engine grants.
// Table groups that are named only once are not remembered forever.
func TestExtremeEstimatesAreBounded(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(4)...)
	usual := Arrival{Class: "quick", Estimate: 100 * ms, NeedMB: 10, TimeLeft: 3 * time.Second}
	for range 50 {
		h.endLatest(h.arriveWith(usual), Served)
	}
	extreme := h.arriveWith(Arrival{Class: "quick", Estimate: 1000 * time.Hour, NeedMB: 1e9, TimeLeft: 3 * time.Second})
	c := h.controller
	if mean := c.classes.all[0].estimate.clientEstimate; mean > 0.5 {
		t.Errorf("mean estimate rose to %v s, want at most 0.5", mean)
	}
	got, limit := c.capacity.wantedGrant(c.requests.byID[extreme.id]), 8192*h.config.Features.MaxGrantShare
	if got != limit {
		t.Errorf("wanted grant is %v MB, want %v", got, limit)
	}
	for i := range 3 * maxAffinities {
		arrival := Arrival{Class: "quick", TableGroup: int64(i + 1), TimeLeft: 3 * time.Second}
		h.endLatest(h.arriveWith(arrival), Served)
	}
	if n := len(c.selector.affinities); n > maxAffinities {
		t.Errorf("%d table groups remembered, want at most %d", n, maxAffinities)
	}
}
