package incident

import (
	"cmp"
	"math"
	"slices"

	"windflow/internal/record"
)

const (
	// minUncertaintyMS is the uncertainty that comes from the delay of an endpoint event and from the time between two
	// observations of a router. It is part of every measured offset.
	minUncertaintyMS = 3.0
	// fewEventsUncertaintyMS is the minimum uncertainty of a clock with fewer than fewEvents shared events.
	fewEventsUncertaintyMS = 50.0
	fewEvents              = 3
	// unsynchronizedUncertaintyMS is the uncertainty of a clock without shared events. It is the difference to expect
	// between system clocks that are kept synchronized.
	unsynchronizedUncertaintyMS = 500.0
	// sameRouterUncertaintyMS is added to the uncertainty of a clock that is assumed to be that of another process of
	// the same router.
	sameRouterUncertaintyMS = 10.0
	// The drift is estimated only from at least minDriftEvents that span at least minDriftSpanMS. The drift of a quartz
	// clock is below maxDrift.
	minDriftEvents, minDriftSpanMS = 6, 20_000.0
	maxDrift                       = 500e-6
	// uncertaintyQuantile is the share of shared events whose offsets lie within the uncertainty.
	uncertaintyQuantile = 0.9
)

// Clock relates the clock of a process to that of the reference process.
type Clock struct {
	OffsetMS    float64 // offset at ReferenceMS; positive if ahead of the reference
	Drift       float64 // change of the offset per unit of the process's time after ReferenceMS
	ReferenceMS float64 // a time on the process's clock
	// UncertaintyMS bounds the error of a corrected time. If two times of different processes differ by less than the
	// sum of their uncertainties, their order is unknown.
	UncertaintyMS float64
	SharedEvents  int  // number of events shared with the reference
	Measured      bool // estimated from shared events; otherwise the system clocks are assumed to agree
}

// Correct converts a time on the process's clock to the reference clock.
func (c Clock) Correct(atMS float64) float64 { return atMS - c.OffsetMS - c.Drift*(atMS-c.ReferenceMS) }

// sharedEvent is a change of an engine in the endpoint list, which all routers see at about the same time. It is
// unique, because an engine's id is never reused.
type sharedEvent struct {
	engineID string
	state    record.State
}

// sharedEventOf returns the shared event of a change, and false if the change does not come from the endpoint list.
func sharedEventOf(change *record.EngineChange) (sharedEvent, bool) {
	if change.State != record.Draining && change.State != record.Gone {
		return sharedEvent{}, false
	}
	return sharedEvent{change.EngineID, change.State}, true
}

// offsetSample is the offset of a clock from the reference at a shared event; atMS is on the process's own clock.
type offsetSample struct{ atMS, offsetMS float64 }

// estimateClock estimates the clock of a process from the times of shared events: own has them on its clock, reference
// on the reference clock. Without an event in both, the clocks are assumed to agree within
// unsynchronizedUncertaintyMS.
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

// estimateDrift returns the Theil-Sen estimate of the drift, limited to maxDrift. This estimate is the median of the
// slopes between pairs of samples, so that a few events that arrived late do not change it. Pairs less than a
// quarter of minDriftSpanMS apart are not used. The samples must be sorted by time. It returns 0 for fewer than
// minDriftEvents samples and for a span below minDriftSpanMS.
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

// uncertainty returns the uncertainty of the estimate offsetMS, computed from the deviations of the sampled offsets
// from it. It is larger for few samples.
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
