package incident

import (
	"math"
	"slices"
	"testing"
)

// The baseline must be the lower quartile of the losses, without the seconds in which no request ended.
func TestBaselineIsLowerQuartile(t *testing.T) {
	none := math.NaN()
	for _, test := range []struct {
		name   string
		losses []float64
		want   float64
		ok     bool
	}{
		{"no seconds", nil, 0, false},
		{"no request ended", []float64{none, none}, 0, false},
		{"one second", []float64{none, 0.3, none}, 0.3, true},
		{"seconds in any order", []float64{0.9, 0.2, none, 0.1, 0.3, 0.4}, 0.2, true},
	} {
		if got, ok := baselineOf(test.losses); got != test.want || ok != test.ok {
			t.Errorf("%s: %v, %v, want %v, %v", test.name, got, ok, test.want, test.ok)
		}
	}
}

// Incidents at most mergeSeconds apart must be merged, and a second without requests must neither begin nor end an
// incident.
func TestIncidentRanges(t *testing.T) {
	const bad = 0.5
	none := math.NaN()
	for _, test := range []struct {
		name   string
		losses []float64
		want   []secondRange
	}{
		{"no loss", []float64{0, 0.05, 0, 0}, nil},
		{"one second", []float64{0, bad, 0, 0, 0}, []secondRange{{1, 1}}},
		{"bad until the end", []float64{0, bad, bad}, []secondRange{{1, 2}}},
		{"recovery shorter than recoverySeconds", []float64{bad, 0, 0, 0.05, 0, 0, 0, 0}, []secondRange{{0, 3}}},
		{"mergeSeconds apart", []float64{bad, 0, 0, 0, 0, bad, 0, 0, 0}, []secondRange{{0, 5}}},
		{"more than mergeSeconds apart", []float64{bad, 0, 0, 0, 0, 0, bad, 0, 0, 0}, []secondRange{{0, 0}, {6, 6}}},
		{"no requests", []float64{none, none, none}, nil},
		{"no requests during the incident", []float64{bad, 0, none, 0, 0, 0.05, 0, 0, 0}, []secondRange{{0, 5}}},
	} {
		if got := incidentRanges(test.losses, 0); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
