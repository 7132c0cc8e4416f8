package incident

import (
	"fmt"
	"math"
	"testing"

	"windflow/internal/record"
)

// Covers no values, an odd number of values, and an even number, whose median is the mean of the two in the middle.
func TestMedian(t *testing.T) {
	for _, test := range []struct {
		values []float64
		want   float64
	}{
		{nil, 0},
		{[]float64{7}, 7},
		{[]float64{9, 1}, 5},
		{[]float64{30, 1, 2}, 2},
		{[]float64{100, 1, 4, 2}, 3},
	} {
		if got := median(test.values); got != test.want {
			t.Errorf("%v: %v, want %v", test.values, got, test.want)
		}
	}
}

// A drift is estimated only from enough events over a long enough time, and limited to maxDrift.
func TestDriftNeedsEnoughEventsAndIsBounded(t *testing.T) {
	samplesWithDrift := func(count int, apartMS, drift float64) []offsetSample {
		samples := make([]offsetSample, count)
		for i := range samples {
			atMS := apartMS * float64(i)
			samples[i] = offsetSample{atMS, 40 + drift*atMS}
		}
		return samples
	}
	for _, test := range []struct {
		name    string
		samples []offsetSample
		want    float64
	}{
		{"enough events", samplesWithDrift(minDriftEvents, minDriftSpanMS, 100e-6), 100e-6},
		{"too few events", samplesWithDrift(minDriftEvents-1, minDriftSpanMS, 100e-6), 0},
		{"span too short", samplesWithDrift(minDriftEvents, minDriftSpanMS/minDriftEvents, 100e-6), 0},
		{"drift above the limit", samplesWithDrift(minDriftEvents, minDriftSpanMS, 2*maxDrift), maxDrift},
		{"drift below the limit", samplesWithDrift(minDriftEvents, minDriftSpanMS, -2*maxDrift), -maxDrift},
	} {
		if got := estimateDrift(test.samples); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Below fewEvents shared events, the uncertainty is at least fewEventsUncertaintyMS. Without any, the system clocks are
// assumed to agree within unsynchronizedUncertaintyMS.
func TestFewSharedEventsWidenUncertainty(t *testing.T) {
	for _, test := range []struct {
		shared int
		want   Clock
	}{
		{0, Clock{UncertaintyMS: unsynchronizedUncertaintyMS}},
		{1, Clock{
			OffsetMS: 40, ReferenceMS: 1040, UncertaintyMS: fewEventsUncertaintyMS, SharedEvents: 1, Measured: true,
		}},
		{2, Clock{
			OffsetMS: 40, ReferenceMS: 1040, UncertaintyMS: fewEventsUncertaintyMS, SharedEvents: 2, Measured: true,
		}},
		{3, Clock{OffsetMS: 40, ReferenceMS: 1040, UncertaintyMS: minUncertaintyMS, SharedEvents: 3, Measured: true}},
	} {
		own := map[sharedEvent]float64{{"unknown to the reference", record.Gone}: 5}
		reference := map[sharedEvent]float64{}
		for i := range test.shared {
			event := sharedEvent{fmt.Sprint("engine", i), record.Gone}
			reference[event] = 1000 * float64(i+1)
			own[event] = reference[event] + 40
		}
		if got := estimateClock(own, reference); got != test.want {
			t.Errorf("%d shared events: %+v, want %+v", test.shared, got, test.want)
		}
	}
}
