package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// fleetCase is a number of routers that share the rate of one engine.
type fleetCase struct {
	routers    int
	perSecond  float64 // quanta for all routers
	restarting bool    // seven in ten routers restart during the run
}

const (
	fleetMaxAge    = 1500.0
	fleetDuration  = 12_000.0
	fleetRestartAt = 5000.0 // when the routers restart
)

// quantumTimes runs all routers and returns when each of their quanta was due.
func (c fleetCase) quantumTimes() (times []float64) {
	rng := rand.New(rand.NewPCG(uint64(c.routers), uint64(c.perSecond)))
	equalShare := Rate{}.WithPoint(0, c.perSecond/float64(c.routers))
	for i := range c.routers {
		budget := NewBudget(i, c.routers, 0.3, 0)
		budget.SetRate(equalShare, 0)
		interval := float64(1 + rng.IntN(400)) // between two calls
		last := -1.0
		restarts := c.restarting && rng.Float64() < 0.7
		for now := 0.0; now < fleetDuration; now += interval {
			if restarts && now > fleetRestartAt {
				restarts = false
				budget = NewBudget(i, c.routers, 0.3, now)
				budget.SetRate(equalShare, now)
			}
			if since, ok := budget.Available(now, fleetMaxAge); ok && since != last {
				times, last = append(times, since), since
			}
		}
	}
	return times
}

// countBetween counts the times after from, up to and including to.
func countBetween(times []float64, from, to float64) (n float64) {
	for _, at := range times {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

// Checks that all routers together receive in any window what the rate yields in it, with a deviation of at most one
// quantum, for any number of routers and any call frequency. If seven in ten routers restart, random variation is added
// to that. Guards against an engine that is overloaded while it warms up, or not used.
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
	tolerance := 1.01
	if c.restarting { // a restarted router has another offset in time, so the quanta are no longer spread evenly
		tolerance += 3 * math.Sqrt(want)
	}
	for from := 0.0; from < fleetDuration-2*fleetMaxAge; from += 100 {
		if n := countBetween(times, from, from+fleetMaxAge); math.Abs(n-want) > tolerance {
			t.Errorf("%+v: %v quanta in the window from %v, want %.1f", c, n, from, want)
			return
		}
	}
}

// Guards against a quantum that does not expire, and against several quanta after an idle time.
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
		{9700, 800, 9000, true}, // seven quanta came due, and one counts
		{9800, 700, 9000, false},
	} {
		if since, ok := budget.Available(test.at, test.maxAge); ok != test.ok || math.Abs(since-test.since) > 0.001 {
			t.Errorf("at %v: quantum due at %v, available %v; want %v, %v", test.at, since, ok, test.since, test.ok)
		}
	}
	for _, rate := range []float64{0, -1} {
		budget.SetRate(Rate{}.WithPoint(0, rate), 9900)
		_, ok := budget.Available(30_000-1000*rate, 700)
		if ok || budget.fraction < 0 || math.IsNaN(budget.fraction) {
			t.Errorf("a rate of %v yielded a quantum or an invalid fraction: %+v", rate, budget)
		}
	}
}

// Checks that a budget receives the same quanta at the same times however often it is called, and that their number
// matches the integral of the rate. Guards against a router that gets more or fewer quanta because it calls less
// often.
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
			if rapid.IntRange(0, 400).Draw(t, "call") == 0 {
				checkSameQuantum(t, &frequent, &infrequent, now)
			}
		}
		total := fraction + rate.integral(start, last)
		if frequent.hasReceived && math.Abs(total-float64(quanta)) > 1e-6 {
			t.Fatalf("%d quanta by %v, want the integral of the rate, %v", quanta, last, total)
		}
	})
}

// checkSameQuantum calls the infrequently called budget and compares it with the other one.
func checkSameQuantum(t *rapid.T, frequent, infrequent *Budget, now float64) {
	t.Helper()
	since, _ := frequent.Available(now, math.Inf(1))
	differs := infrequent.lastDue != since || infrequent.hasReceived != frequent.hasReceived
	if due := infrequent.NextDue(); due <= now != differs {
		t.Fatalf("next due at %v at time %v, but the last quantum was due at %v if called frequently, at %v if not",
			due, now, since, infrequent.lastDue)
	}
	got, _ := infrequent.Available(now, math.Inf(1))
	if frequent.hasReceived && math.Abs(got-since) > 1e-6*(1+math.Abs(since)) {
		t.Fatalf("the last quantum was due at %v if called frequently, at %v if not", since, got)
	}
}

// Checks that a change of the rate keeps what has accumulated. Guards against a router that receives nothing, or too
// much, while the rate changes often.
func TestSetRateKeepsTheFraction(t *testing.T) {
	budget := NewBudget(0, 1, 0, 0)
	budget.SetRate(Rate{}.WithPoint(0, 1), 0)
	budget.SetRate(Rate{}.WithPoint(0, 2), 500) // half a quantum has accumulated, the other half takes 250 ms
	if budget.NextDue() != 750 {
		t.Errorf("after a change of the rate the quantum is due at %v, want 750", budget.NextDue())
	}
	budget.SetRate(Rate{}, 700)
	if !math.IsInf(budget.NextDue(), 1) {
		t.Errorf("with a rate of 0 a quantum is due at %v, want +Inf", budget.NextDue())
	}
	budget.SetRate(Rate{}.WithPoint(0, 1), 10_000) // 0.9 of a quantum had accumulated, and nothing was added at rate 0
	if math.Abs(budget.NextDue()-10_100) > 1e-6 {
		t.Errorf("after a rate of 0 the quantum is due at %v, want 10100", budget.NextDue())
	}
	if _, ok := budget.Available(10_050, 1e9); ok {
		t.Error("a quantum is available before it is due")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 { // the same rate is set repeatedly
		budget.SetRate(Rate{}.WithPoint(0, 1), 10_000+100*rng.Float64())
	}
	if math.Abs(budget.NextDue()-10_100) > 1e-6 {
		t.Errorf("after setting the same rate repeatedly the quantum is due at %v, want 10100", budget.NextDue())
	}
}
