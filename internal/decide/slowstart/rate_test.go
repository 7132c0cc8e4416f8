package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// drawFlow is a flow of up to four points, some of them without any rate.
func drawFlow(t *rapid.T, from float64) (f Rate) {
	at := from + rapid.Float64Range(-3000, 3000).Draw(t, "from")
	for range rapid.IntRange(0, maxPoints).Draw(t, "points") {
		f = f.WithPoint(at, max(rapid.Float64Range(-1, 3).Draw(t, "rate"), 0))
		at += rapid.SampledFrom([]float64{0, 1, 700, 5000}).Draw(t, "gap")
	}
	return f
}

// What a flow sums up to agrees with adding it up in small steps, and the time at which so much is due with that sum.
func TestFlowSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.Float64Range(0, 1e6).Draw(t, "now")
		f := drawFlow(t, from)
		to := from + rapid.Float64Range(1, 20_000).Draw(t, "lasts")
		const steps = 4000
		plain, step := 0.0, (to-from)/steps
		for i := range steps {
			rate := f.pieceFrom(from + (float64(i)+0.5)*step).start
			plain += rate * step / 1000
		}
		got := f.integral(from, to)
		if math.Abs(got-plain) > 0.01*plain+0.02 { // a step at a point that stands twice is met to one step
			t.Fatalf("%+v: %v chunks from %v to %v, want %v", f, got, from, to, plain)
		}
		if got < 1e-6 {
			return
		}
		at := f.timeOf(from, got*0.7)
		if at < from || at > to || math.Abs(f.integral(from, at)-got*0.7) > 1e-6*(1+got) {
			t.Fatalf("%+v: %v of %v chunks are due at %v, and by then %v were", f, got*0.7, got, at, f.integral(from, at))
		}
	})
}

// A ration gives the same chunks at the same times however often it is asked, and those that adding up in small steps gives. It
// guards against a party that is asked seldom and gets more, or less.
func TestChunksDoNotGoByTheAsking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.Float64Range(0, 1e6).Draw(t, "start")
		f, party := drawFlow(t, at), rapid.IntRange(0, 99).Draw(t, "party")
		often, seldom := NewBudget(party, 100, 0.3, at), NewBudget(party, 100, 0.3, at)
		plain := often.fraction
		often.SetRate(f, at)
		seldom.SetRate(f, at)
		chunks := 0
		last := math.Inf(-1)
		for now := at; now < at+20_000; now += 5 {
			since, _ := often.Available(now, math.Inf(1))
			if often.received && since != last {
				chunks, last = chunks+1, since
			}
			if rapid.IntRange(0, 400).Draw(t, "ask") != 0 {
				continue
			}
			if due := seldom.NextDue(); due <= now != (seldom.lastDue != since || seldom.received != often.received) {
				t.Fatalf("due at %v by now %v, and the one asked often has its chunk since %v, the other %v", due, now, since, seldom.lastDue)
			}
			if got, _ := seldom.Available(now, math.Inf(1)); often.received && math.Abs(got-since) > 1e-6*(1+math.Abs(since)) {
				t.Fatalf("asked often it has a chunk since %v, asked seldom since %v", since, got)
			}
		}
		if plain += f.integral(at, last); often.received && math.Abs(plain-float64(chunks)) > 1e-6 {
			t.Fatalf("%d chunks by %v, where the flow sums up to %v", chunks, last, plain)
		}
	})
}

// A flow that changes leaves what came due until then.
func TestGoKeepsWhatCameDue(t *testing.T) {
	r := NewBudget(0, 1, 0, 0)
	r.SetRate(Rate{}.WithPoint(0, 1), 0)
	r.SetRate(Rate{}.WithPoint(0, 2), 500) // half a chunk is there, the other half takes a quarter of a second
	if r.NextDue() != 750 {
		t.Errorf("the chunk is due at %v, want 750", r.NextDue())
	}
	r.SetRate(Rate{}, 700)
	if !math.IsInf(r.NextDue(), 1) {
		t.Errorf("without a flow one is due at %v", r.NextDue())
	}
	r.SetRate(Rate{}.WithPoint(0, 1), 10_000) // 0.9 were there, and nothing came meanwhile
	if math.Abs(r.NextDue()-10_100) > 1e-6 {
		t.Errorf("the chunk is due at %v, want 10100", r.NextDue())
	}
	if _, ok := r.Available(10_050, 1e9); ok {
		t.Error("a chunk before its time")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 { // however often it is told the same flow
		r.SetRate(Rate{}.WithPoint(0, 1), 10_000+100*rng.Float64())
	}
	if math.Abs(r.NextDue()-10_100) > 1e-6 {
		t.Errorf("told again and again, the chunk is due at %v, want 10100", r.NextDue())
	}
}
