package incident

import (
	"cmp"
	"math"
	"slices"

	"windflow/internal/record"
)

const (
	// minUncertaintyMS is the uncertainty that the delivery of an endpoint event and the interval of observation add.
	minUncertaintyMS = 3.0
	// fewEventsUncertaintyMS is the least uncertainty of a clock with fewer than fewEvents shared events.
	fewEventsUncertaintyMS = 50.0
	fewEvents              = 3
	// unsynchronizedUncertaintyMS is the uncertainty of clocks without shared events: that of maintained system clocks.
	unsynchronizedUncertaintyMS = 500.0
	// sameRouterUncertaintyMS is added for a clock that is taken from another process of the router.
	sameRouterUncertaintyMS = 10.0
	// A drift is estimated from minDriftEvents on that span minDriftSpanMS. That of a quartz is below maxDrift.
	minDriftEvents, minDriftSpanMS = 6, 20_000.0
	maxDrift                       = 500e-6
	// uncertaintyQuantile of the shared events lie within the uncertainty.
	uncertaintyQuantile = 0.9
)

// Clock is the offset of a process's clock from that of the reference process.
type Clock struct {
	OffsetMS    float64 // at ReferenceMS, ahead of the reference
	Drift       float64 // further offset per unit of the process's time after ReferenceMS
	ReferenceMS float64
	// UncertaintyMS bounds the error of a corrected time. The order of two moments that are closer than the sum of
	// their uncertainties is unknown.
	UncertaintyMS float64
	SharedEvents  int  // with the reference
	Measured      bool // by shared events; otherwise the system clocks are assumed to agree
}

// Correct converts a time of the process to the reference clock.
func (c Clock) Correct(atMS float64) float64 { return atMS - c.OffsetMS - c.Drift*(atMS-c.ReferenceMS) }

// sharedEvent is an event that all routers see at about the same time: the change of an engine in the endpoint list. An
// engine's id is never reused.
type sharedEvent struct {
	engineID string
	state    record.State
}

// sharedEventOf reports whether a change is from the endpoint list.
func sharedEventOf(change *record.EngineChange) (sharedEvent, bool) {
	if change.State != record.Draining && change.State != record.Gone {
		return sharedEvent{}, false
	}
	return sharedEvent{change.EngineID, change.State}, true
}

// offsetSample is the offset of a clock at a shared event.
type offsetSample struct{ atMS, offsetMS float64 }

// estimateClock estimates the clock that saw the events of own against the one that saw those of reference.
func estimateClock(own, reference map[sharedEvent]float64) Clock {
	var samples []offsetSample
	for event, atMS := range own {
		if referenceMS, ok := reference[event]; ok {
			samples = append(samples, offsetSample{atMS, atMS - referenceMS})
		}
	}
	if len(samples) == 0 {
		return Clock{UncertaintyMS: unsynchronizedUncertaintyMS}
	}
	slices.SortFunc(samples, func(a, b offsetSample) int { return cmp.Compare(a.atMS, b.atMS) })
	clock := Clock{
		ReferenceMS: samples[0].atMS, SharedEvents: len(samples), Measured: true, Drift: estimateDrift(samples),
	}
	residuals := make([]float64, len(samples))
	for i, sample := range samples {
		residuals[i] = sample.offsetMS - clock.Drift*(sample.atMS-clock.ReferenceMS)
	}
	clock.OffsetMS = median(residuals)
	clock.UncertaintyMS = uncertainty(residuals, clock.OffsetMS)
	return clock
}

// estimateDrift returns the Theil-Sen estimate, the median of all slopes, which a few events that arrived late don't
// move. The samples are sorted by time. It returns 0 for samples that are too few or too close.
func estimateDrift(samples []offsetSample) float64 {
	span := samples[len(samples)-1].atMS - samples[0].atMS
	if len(samples) < minDriftEvents || span < minDriftSpanMS {
		return 0
	}
	var slopes []float64
	for i, first := range samples {
		for _, second := range samples[i+1:] {
			if intervalMS := second.atMS - first.atMS; intervalMS >= minDriftSpanMS/4 {
				slopes = append(slopes, (second.offsetMS-first.offsetMS)/intervalMS)
			}
		}
	}
	return min(max(median(slopes), -maxDrift), maxDrift)
}

// uncertainty returns the bound for a clock whose offset was sampled with those values. It is wider for few samples.
func uncertainty(offsets []float64, offsetMS float64) float64 {
	deviations := make([]float64, len(offsets))
	for i, sample := range offsets {
		deviations[i] = math.Abs(sample - offsetMS)
	}
	slices.Sort(deviations)
	count := float64(len(deviations))
	typical := deviations[min(int(uncertaintyQuantile*count), len(deviations)-1)]
	bound := minUncertaintyMS + typical*(1+2/count)
	if len(deviations) < fewEvents {
		return max(bound, fewEventsUncertaintyMS)
	}
	return bound
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 0 {
		return (sorted[middle-1] + sorted[middle]) / 2
	}
	return sorted[middle]
}
