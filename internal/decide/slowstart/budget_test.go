package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// sumCase is a number of routers that share a rate of one engine.
type fleetCase struct {
	routers    int
	perSecond  float64 // quanta for all routers
	restarting bool    // seven in ten routers restart on the way
}

const (
	fleetMaxAge    = 1500.0
	fleetDuration  = 12_000.0
	fleetRestartAt = 5000.0 // when routers restart
)

// received plays all routers and returns when each of their quanta accrued.
func (c fleetCase) quantumTimes() (times []float64) {
	rng := rand.New(rand.NewPCG(uint64(c.routers), uint64(c.perSecond)))
	even := Rate{}.WithPoint(0, c.perSecond/float64(c.routers))
	for i := range c.routers {
		budget := NewBudget(i, c.routers, 0.3, 0)
		budget.SetRate(even, 0)
		interval := float64(1 + rng.IntN(400)) // between two calls
		last := -1.0
		restarts := c.restarting && rng.Float64() < 0.7
		for now := 0.0; now < fleetDuration; now += interval {
			if restarts && now > fleetRestartAt {
				restarts = false
				budget = NewBudget(i, c.routers, 0.3, now)
				budget.SetRate(even, now)
			}
			if since, ok := budget.Available(now, fleetMaxAge); ok && since != last {
				times, last = append(times, since), since
			}
		}
	}
	return times
}

// countBetween counts the times after from, up to to.
func countBetween(times []float64, from, to float64) (n float64) {
	for _, at := range times {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

// However many routers there are, and however frequent each takes one: what all of them receive in a window is what the
// rate amounts to there, within one quantum. Where seven in ten restart, chance is added to that.
func TestRoutersTogetherReceiveTheRate(t *testing.T) {
	for _, routers := range []int{40, 270, 300, 1000} {
		for _, perSecond := range []float64{0.8, 5, 30} {
			for _, restarting := range []bool{false, true} {
				checkFleetTotal(t, fleetCase{routers, perSecond, restarting})
			}
		}
	}
}

func checkFleetTotal(t *testing.T, c fleetCase) {
	t.Helper()
	times := c.quantumTimes()
	want := c.perSecond * fleetMaxAge / 1000
	slack := 1.01
	if c.restarting { // a router that restarts has another offset in time: chance replaces evenness
		slack += 3 * math.Sqrt(want)
	}
	for from := 0.0; from < fleetDuration-2*fleetMaxAge; from += 100 {
		if n := countBetween(times, from, from+fleetMaxAge); math.Abs(n-want) > slack {
			t.Errorf("%+v: %v quanta in the window from %v, want %.1f", c, n, from, want)
			return
		}
	}
}

func TestQuantumExpires(t *testing.T) {
	budget := NewBudget(0, 1, 0, 0)
	budget.SetRate(Rate{}.WithPoint(0, 1), 0)
	for _, test := range []struct {
		at, maxAge, since float64
		ok                bool
	}{
		{900, 1000, 0, false},
		{1100, 800, 1000, true},
		{1900, 800, 1000, false},
		{2000, 800, 2000, true},
		{1500, 800, 2000, true}, // a time in the past: nothing is received twice
		{9700, 800, 9000, true}, // seven accrued: one counts
		{9800, 700, 9000, false},
	} {
		if since, ok := budget.Available(test.at, test.maxAge); ok != test.ok || math.Abs(since-test.since) > 0.001 {
			t.Errorf("at %v: since %v, %v; want %v, %v", test.at, since, ok, test.since, test.ok)
		}
	}
	for _, rate := range []float64{0, -1} {
		budget.SetRate(Rate{}.WithPoint(0, rate), 9900)
		_, ok := budget.Available(30_000-1000*rate, 700)
		if ok || budget.fraction < 0 || math.IsNaN(budget.fraction) {
			t.Errorf("a rate of %v accrued a quantum, or consumed one: %+v", rate, budget)
		}
	}
}

// A budget receives the same quanta at the same times however frequent it is called, and those that adding up in small
// steps returns. It guards against a router that calls infrequent and gets more, or less.
func TestQuantaDoNotDependOnCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.Float64Range(0, 1e6).Draw(t, "start")
		rate, router := drawRate(t, start), rapid.IntRange(0, 99).Draw(t, "router")
		frequent, infrequent := NewBudget(router, 100, 0.3, start), NewBudget(router, 100, 0.3, start)
		fraction := frequent.fraction
		frequent.SetRate(rate, start)
		infrequent.SetRate(rate, start)
		quanta := 0
		last := math.Inf(-1)
		for now := start; now < start+20_000; now += 5 {
			since, _ := frequent.Available(now, math.Inf(1))
			if frequent.hasReceived && since != last {
				quanta, last = quanta+1, since
			}
			if rapid.IntRange(0, 400).Draw(t, "ask") == 0 {
				checkSameQuantum(t, &frequent, &infrequent, now)
			}
		}
		total := fraction + rate.integral(start, last)
		if frequent.hasReceived && math.Abs(total-float64(quanta)) > 1e-6 {
			t.Fatalf("%d quanta by %v, where the rate amounts to %v", quanta, last, total)
		}
	})
}

// checkSameQuantum calls the budget that is called infrequent, and compares it with the other one.
func checkSameQuantum(t *rapid.T, frequent, infrequent *Budget, now float64) {
	t.Helper()
	since, _ := frequent.Available(now, math.Inf(1))
	differs := infrequent.lastDue != since || infrequent.hasReceived != frequent.hasReceived
	if due := infrequent.NextDue(); due <= now != differs {
		t.Fatalf("due at %v by now %v, and the one called frequent has its quantum since %v, the other %v",
			due, now, since, infrequent.lastDue)
	}
	got, _ := infrequent.Available(now, math.Inf(1))
	if frequent.hasReceived && math.Abs(got-since) > 1e-6*(1+math.Abs(since)) {
		t.Fatalf("called frequent it has a quantum since %v, called infrequent since %v", since, got)
	}
}

// A rate that changes leaves what has accumulated until then.
func TestSetRateKeepsTheFraction(t *testing.T) {
	budget := NewBudget(0, 1, 0, 0)
	budget.SetRate(Rate{}.WithPoint(0, 1), 0)
	budget.SetRate(Rate{}.WithPoint(0, 2), 500) // half a quantum is there, the other half takes a quarter of a second
	if budget.NextDue() != 750 {
		t.Errorf("the quantum is due at %v, want 750", budget.NextDue())
	}
	budget.SetRate(Rate{}, 700)
	if !math.IsInf(budget.NextDue(), 1) {
		t.Errorf("without a rate one is due at %v", budget.NextDue())
	}
	budget.SetRate(Rate{}.WithPoint(0, 1), 10_000) // 0.9 were there, and nothing accrued meanwhile
	if math.Abs(budget.NextDue()-10_100) > 1e-6 {
		t.Errorf("the quantum is due at %v, want 10100", budget.NextDue())
	}
	if _, ok := budget.Available(10_050, 1e9); ok {
		t.Error("a quantum before its time")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 { // however frequent the same rate is set
		budget.SetRate(Rate{}.WithPoint(0, 1), 10_000+100*rng.Float64())
	}
	if math.Abs(budget.NextDue()-10_100) > 1e-6 {
		t.Errorf("set again and again, the quantum is due at %v, want 10100", budget.NextDue())
	}
}
