// Package incident joins the records of routers and tells what happened: whose clock is off by how much, each engine's
// states over time, and when service was worse than in the calm before, for whom. It is pure: records are handed in, no
// file is opened and no clock read.
package incident

import (
	"cmp"
	"math"
	"slices"

	"windflow/internal/record"
)

// Clock is what is known of a process's clock against that of the first router.
type Clock struct {
	OffsetMS    float64 // to be taken off its times, at Zero
	Drift       float64 // further milliseconds to be taken off for each of its own after Zero
	ReferenceMS float64
	// Within is how far a corrected time may be off, in milliseconds. Two moments that are closer than both their bounds
	// are in no order.
	UncertaintyMS float64
	SharedEvents  int  // moments that both saw
	Measured      bool // by marks; else the systems' clocks are taken to agree
}

// Correct gives a time of the process on the first router's clock.
func (c Clock) Correct(at float64) float64 { return at - c.OffsetMS - c.Drift*(at-c.ReferenceMS) }

const (
	// leastMS is what the way of news from the board and the look at the module add in any case, in milliseconds.
	leastMS = 3.0
	// untoldMS bounds clocks that no mark ties together: those of systems whose clocks are kept.
	untoldMS = 500.0
	// A drift is estimated from driftMarks on that lie driftSpan apart; a quartz's is under maxDrift.
	driftMarks, driftSpan = 6, 20_000.0
	maxDrift              = 500e-6
)

// sharedEvent names a moment that every router sees: an engine's change on the board. Ids of engines are never used again.
type sharedEvent struct {
	engine string
	state  record.State
}

// markOf tells whether a change is the board's word.
func markOf(e *record.EngineChange) (sharedEvent, bool) {
	switch e.State {
	case record.Draining, record.Gone:
		return sharedEvent{e.EngineID, e.State}, true
	}
	return sharedEvent{}, false
}

// estimate compares a process's marks with the reference's.
func estimate(own, ref map[sharedEvent]float64) Clock {
	type pair struct{ at, off float64 }
	var pairs []pair
	for m, at := range own {
		if there, ok := ref[m]; ok {
			pairs = append(pairs, pair{at, at - there})
		}
	}
	if len(pairs) == 0 {
		return Clock{UncertaintyMS: untoldMS}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(a.at, b.at) })
	c := Clock{ReferenceMS: pairs[0].at, SharedEvents: len(pairs), Measured: true}
	// Theil and Sen: the median of all slopes, which a few marks that came late don't move.
	if span := pairs[len(pairs)-1].at - pairs[0].at; len(pairs) >= driftMarks && span >= driftSpan {
		var slopes []float64
		for i, a := range pairs {
			for _, b := range pairs[i+1:] {
				if b.at-a.at >= driftSpan/4 {
					slopes = append(slopes, (b.off-a.off)/(b.at-a.at))
				}
			}
		}
		c.Drift = min(max(median(slopes), -maxDrift), maxDrift)
	}
	rest := make([]float64, len(pairs))
	for i, p := range pairs {
		rest[i] = p.off - c.Drift*(p.at-c.ReferenceMS)
	}
	c.OffsetMS = median(rest)
	for i := range rest {
		rest[i] = math.Abs(rest[i] - c.OffsetMS)
	}
	slices.Sort(rest)
	// Nine of ten marks lie within; few marks say little of the rest.
	c.UncertaintyMS = leastMS + rest[min(int(0.9*float64(len(rest))), len(rest)-1)]*(1+2/float64(len(rest)))
	if len(pairs) < 3 {
		c.UncertaintyMS = max(c.UncertaintyMS, 50)
	}
	return c
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Clone(v)
	slices.Sort(v)
	if n := len(v); n%2 == 0 {
		return (v[n/2-1] + v[n/2]) / 2
	}
	return v[len(v)/2]
}
