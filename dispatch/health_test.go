package dispatch

import (
	"math"
	"testing"
	"time"
)

// newTestHealth returns the initial health of an engine and an environment whose time is one hour.
func newTestHealth() (*health, *environment) {
	h := newHealth()
	return &h, &environment{now: time.Hour}
}

func TestSlownessMovesAndDecays(t *testing.T) {
	for _, test := range []struct {
		name   string
		ratios []float64
		after  time.Duration
		want   float64
	}{
		{"nothing observed", nil, 0, 1},
		{"usual", []float64{1, 1}, 0, 1},
		{"slow", []float64{3}, 0, 1.2},
		{"bounded", []float64{1e9}, 0, 1 + slownessGain*(maxSlowness-1)},
		{"fast", []float64{0}, 0, 1 + slownessGain*(minSlowness-1)},
		{"slow, a time constant ago", []float64{3}, evidenceDecayTime, 1 + 0.2/math.E},
	} {
		h, env := newTestHealth()
		for _, ratio := range test.ratios {
			h.observeSlowness(env, ratio)
		}
		env.now += test.after
		if got := h.currentSlowness(env); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: slowness is %v, want %v", test.name, got, test.want)
		}
	}
}

func TestFailureShareEjects(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []float64 // 1 for a failure, 0 for an answer
		gain     float64
		after    time.Duration
		ejected  bool
	}{
		{"none", nil, failureGain, 0, false},
		{"one silent attempt", []float64{1}, failureGain, 0, false},
		{"two silent attempts", []float64{1, 1}, failureGain, 0, true},
		{"five errors", []float64{1, 1, 1, 1, 1}, errorGain, 0, false},
		{"six errors", []float64{1, 1, 1, 1, 1, 1}, errorGain, 0, true},
		{"an answer after two", []float64{1, 1, 0}, failureGain, 0, false},
		{"two, decayed", []float64{1, 1}, failureGain, evidenceDecayTime, false},
	} {
		h, env := newTestHealth()
		for _, outcome := range test.outcomes {
			h.observe(env, outcome, test.gain)
		}
		env.now += test.after
		if got := h.ejected(env); got != test.ejected {
			t.Errorf("%s: ejected: %v with a failure share of %.3f", test.name, got, h.currentFailureShare(env))
		}
	}
}

func TestConnectionFailuresMarkEngineDown(t *testing.T) {
	for name, recover := range map[string]func(*health, *environment){
		"connected": func(h *health, _ *environment) { h.recordConnected() },
		"full":      func(h *health, env *environment) { h.recordFull(env) },
		"cordoned":  func(h *health, _ *environment) { h.cordonChanged(true) },
	} {
		h, env := newTestHealth()
		for i := range maxConnectionFailures {
			if h.down() {
				t.Errorf("engine is down after %d connection failures", i)
			}
			h.recordConnectionFailure()
		}
		if !h.down() {
			t.Errorf("engine is not down after %d connection failures", maxConnectionFailures)
		}
		if recover(h, env); h.down() {
			t.Errorf("%s: engine is still down", name)
		}
	}
}

func TestFullBackoffAndProbationEnd(t *testing.T) {
	h, env := newTestHealth()
	h.recordFull(env)
	env.now += fullBackoff - 1
	if !h.recentlyFull(env) {
		t.Error("engine does not count as full before the backoff has ended")
	}
	env.now++
	if h.recentlyFull(env) {
		t.Error("engine counts as full after the backoff")
	}
	if h.cordonChanged(false); !h.onProbation {
		t.Error("engine is not on probation after a cordon")
	}
	if h.recordServed(); h.onProbation {
		t.Error("engine is still on probation after an answer")
	}
}

func TestHealthRestoresOnlyValidSnapshots(t *testing.T) {
	valid := EngineSnapshot{
		Slowness: 2, SlownessAt: 1, FailureShare: 0.5, FailureShareAt: 2, ConnectionFailures: 3, OnProbation: true,
	}
	for name, test := range map[string]struct {
		change func(*EngineSnapshot)
		want   bool
	}{
		"valid":            {func(*EngineSnapshot) {}, true},
		"slowness of zero": {func(s *EngineSnapshot) { s.Slowness = 0 }, false},
		"slowness NaN":     {func(s *EngineSnapshot) { s.Slowness = math.NaN() }, false},
		"share above one":  {func(s *EngineSnapshot) { s.FailureShare = 1.1 }, false},
		"share below zero": {func(s *EngineSnapshot) { s.FailureShare = -0.1 }, false},
		"failures below 0": {func(s *EngineSnapshot) { s.ConnectionFailures = -1 }, false},
		"all values zero":  {func(s *EngineSnapshot) { *s = EngineSnapshot{} }, false},
	} {
		snapshot := valid
		test.change(&snapshot)
		h := newHealth()
		if got := h.restore(snapshot); got != test.want {
			t.Errorf("%s: restored: %v", name, got)
		}
		want := newHealth()
		if test.want {
			want.slowness, want.slownessAt, want.failureShare, want.failureShareAt = 2, 1, 0.5, 2
			want.connectionFailures, want.onProbation = 3, true
		}
		if h != want {
			t.Errorf("%s: %+v, want %+v", name, h, want)
		}
	}
}

// An engine that rejects requests fast does not attract further requests.
func TestFullEngineIsBackedOffFrom(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(1)...)
	client := h.arrive("quick", "")
	h.endLatest(client, EngineFull)
	if len(client.engines) != 1 {
		t.Fatal("started again on an engine that was just full")
	}
	h.advance(fullBackoff + 50*ms)
	if len(client.engines) != 2 {
		t.Error("engine was not tried again after the backoff")
	}
}

// runSixRequests runs six requests at a time, so that the other engines have work too, and returns the number of
// attempts on the given engine. These fail if down is set.
func (h *harness) runSixRequests(id EngineID, down bool) (attempts int) {
	h.t.Helper()
	h.advance(20 * ms)
	var open []*clientRequest
	for range 6 {
		open = append(open, h.arriveWith(Arrival{
			Class: "quick", TableGroup: int64(h.lastID), TimeLeft: 3 * time.Second,
		}))
	}
	for len(open) > 0 {
		client := open[0]
		open = open[1:]
		if down && client.lastEngine() == id {
			attempts++
			h.endLatest(client, ConnectFailed)
			open = append(open, client)
		} else {
			h.endLatest(client, Served)
		}
	}
	return attempts
}

// If an engine crashes during a discovery outage, the router detects it from its own outcomes. The engine warms up
// when it answers again.
func TestCrashDuringDiscoveryOutage(t *testing.T) {
	const rounds = 400
	h := newHarness(t, withShortWarmUp(twoClassConfig()))
	h.updateEndpoints(ListComplete, testEngines(3)...)
	client := h.arrive("quick", "")
	crashed := client.engines[0]
	h.endLatest(client, ConnectionReset)
	if len(client.engines) != 2 || client.engines[1] == crashed {
		t.Fatalf("request ran on engines %v, want two different ones", client.engines)
	}
	h.endLatest(client, Served)
	e := h.controller.endpoints.byID[crashed]
	attempts := 0
	for range rounds {
		attempts += h.runSixRequests(crashed, true)
	}
	most := maxConnectionFailures + int(rounds*20*ms/(2*fullBackoff)) + 1
	if e.health.connectionFailures < maxConnectionFailures || attempts > most {
		t.Fatalf("%d consecutive connections failed and the engine was tried %d times, want at most %d",
			e.health.connectionFailures, attempts, most)
	}
	for range rounds {
		h.runSixRequests(crashed, false)
		if e.health.connectionFailures == 0 {
			break
		}
	}
	if e.health.connectionFailures > 0 || h.now >= e.warmUp.end {
		t.Error("the recovered engine has connection failures or does not warm up")
	}
}
