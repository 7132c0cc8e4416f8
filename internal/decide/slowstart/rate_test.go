package slowstart

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// drawRate draws a rate with up to four points; some of their rates are 0.
func drawRate(t *rapid.T, from float64) (r Rate) {
	at := from + rapid.Float64Range(-3000, 3000).Draw(t, "from")
	for range rapid.IntRange(0, maxPoints).Draw(t, "points") {
		r = r.WithPoint(at, max(rapid.Float64Range(-1, 3).Draw(t, "rate"), 0))
		at += rapid.SampledFrom([]float64{0, 1, 700, 5000}).Draw(t, "gap")
	}
	return r
}

// Checks the integral of a rate against a sum over small steps, and the due time of a number of quanta against the
// integral. Guards against quanta that are due too early or too late while the rate changes.
func TestRateIntegral(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.Float64Range(0, 1e6).Draw(t, "now")
		rate := drawRate(t, from)
		to := from + rapid.Float64Range(1, 20_000).Draw(t, "lasts")
		const steps = 4000
		summed, step := 0.0, (to-from)/steps
		for i := range steps {
			summed += rate.segmentFrom(from+(float64(i)+0.5)*step).start * step / 1000
		}
		got := rate.integral(from, to)
		if math.Abs(got-summed) > 0.01*summed+0.02 { // where the rate jumps, the sum is off by up to one step
			t.Fatalf("rate %+v: integral is %v quanta from %v to %v, want %v", rate, got, from, to, summed)
		}
		if got < 1e-6 {
			return
		}
		at := rate.dueAt(from, got*0.7)
		if at < from || at > to || math.Abs(rate.integral(from, at)-got*0.7) > 1e-6*(1+got) {
			t.Fatalf("rate %+v: %v of %v quanta are due at %v, but the integral up to then is %v",
				rate, got*0.7, got, at, rate.integral(from, at))
		}
	})
}

// Checks the time after which an amount has accumulated within a segment: 0 for an amount of 0, also if the rate
// starts at 0, and at most the length of the segment. Guards against NaN and against times beyond the segment.
func TestTimeWithinSegment(t *testing.T) {
	rising := segment{start: 0, end: 10, length: 1000}
	level := segment{start: 4, end: 4, length: 1000}
	for _, test := range []struct {
		name   string
		seg    segment
		amount float64
		want   float64
	}{
		{"amount 0 of a rate rising from 0", rising, 0, 0},
		{"a quarter of a rising rate", rising, 1250, 500},
		{"all of a rising rate", rising, 5000, 1000},
		{"amount 0 of a constant rate", level, 0, 0},
		{"half of a constant rate", level, 2000, 500},
		{"more than all of a constant rate", level, 4001, 1000},
	} {
		if got := test.seg.timeToAccrue(test.amount); got != test.want {
			t.Errorf("%s: %v ms, want %v", test.name, got, test.want)
		}
	}
}
