package incident

import (
	"cmp"
	"math"
	"slices"
)

const (
	// An incident begins where the loss over windowSeconds exceeds the baseline by RiseThreshold, and ends where it
	// has been within fallThreshold for recoverySeconds. It lasts at least minSeconds. Two that are at most
	// mergeSeconds apart are one.
	windowSeconds, minSeconds, recoverySeconds, mergeSeconds = 3, 2, 3, 5
	fallThreshold                                            = 0.04
	// RiseThreshold is the loss over the baseline at which an incident begins.
	RiseThreshold = 0.08
	// baselineQuantile of the losses of all seconds is the baseline.
	baselineQuantile = 0.25
)

// Incident is a time in which requests lost more value than usual.
type Incident struct {
	FromMS, ToMS float64
	Loss         float64  // share of value lost
	Impacts      []Impact // by LossShare, the largest first
}

// Impact is the part of a class and tenant in an incident.
type Impact struct {
	Class, Tenant          string
	Late, Rejected, Failed int
	Ended                  int     // requests
	Loss                   float64 // share of its own value that was lost
	BaselineLoss           float64 // the same outside incidents
	LossShare              float64 // share of the value that all classes and tenants lost
}

// secondRange is a range of seconds, both ends included.
type secondRange struct{ first, last int }

// addIncidents finds the incidents, with the losses and the baseline that they are judged by.
func (t *Timeline) addIncidents(series *outcomeSeries) {
	t.Loss = make([]float64, len(series.seconds))
	for second := range t.Loss {
		t.Loss[second] = series.windowLoss(second)
	}
	baseline, ok := baselineOf(t.Loss)
	if !ok {
		return
	}
	t.BaselineLoss = baseline
	ranges := incidentRanges(t.Loss, baseline)
	outside := series.sum(func(second int) bool {
		return !slices.ContainsFunc(ranges, func(found secondRange) bool {
			return found.first-windowSeconds <= second && second <= found.last
		})
	})
	for _, found := range ranges {
		if found.last-found.first+1 < minSeconds {
			continue
		}
		if added, ok := series.describeIncident(found, outside); ok {
			t.Incidents = append(t.Incidents, added)
		}
	}
}

// baselineOf returns the usual loss, and false where no request ended.
func baselineOf(losses []float64) (baseline float64, ok bool) {
	known := slices.DeleteFunc(slices.Clone(losses), math.IsNaN)
	if len(known) == 0 {
		return 0, false
	}
	slices.Sort(known)
	return known[int(baselineQuantile*float64(len(known)-1))], true
}

// incidentRanges returns the ranges of seconds in which the loss exceeds the baseline, of any length.
func incidentRanges(losses []float64, baseline float64) (ranges []secondRange) {
	for second := 0; second < len(losses); second++ {
		if !(losses[second] > baseline+RiseThreshold) { // also for NaN
			continue
		}
		last := lastBadSecond(losses, second, baseline+fallThreshold)
		if n := len(ranges); n > 0 && second-ranges[n-1].last <= mergeSeconds {
			ranges[n-1].last = last
		} else {
			ranges = append(ranges, secondRange{second, last})
		}
		second = last
	}
	return ranges
}

// lastBadSecond returns the last second, from first on, with a loss above limit before recoverySeconds within it.
func lastBadSecond(losses []float64, first int, limit float64) int {
	last, good := first, 0
	for second := first; second < len(losses) && good < recoverySeconds; second++ {
		switch loss := losses[second]; {
		case math.IsNaN(loss):
			good = 0
		case loss > limit:
			last, good = second, 0
		default:
			good++
		}
	}
	return last
}

// describeIncident describes the incident in a range of seconds; outside has the outcomes outside all incidents. It returns false
// where nothing was lost.
func (s *outcomeSeries) describeIncident(found secondRange, outside map[classKey]outcomes) (Incident, bool) {
	first := max(found.first-windowSeconds+1, 0) // the window of the first second begins there
	result := Incident{
		FromMS: s.fromMS + msPerSecond*float64(first), ToMS: s.fromMS + msPerSecond*float64(found.last+1),
	}
	var lost, possible float64
	for key, ended := range s.sum(func(second int) bool { return first <= second && second <= found.last }) {
		classEarned, classPossible := s.value(key, ended)
		lost, possible = lost+classPossible-classEarned, possible+classPossible
		result.Impacts = append(result.Impacts, Impact{
			Class: key.class, Tenant: key.tenant, Late: ended.late, Rejected: ended.rejected, Failed: ended.failed,
			Ended: ended.total(), Loss: s.lossShare(key, ended), BaselineLoss: s.lossShare(key, outside[key]),
			LossShare: classPossible - classEarned, // divided by the total below
		})
	}
	if possible == 0 || lost == 0 {
		return Incident{}, false
	}
	result.Loss = lost / possible
	for i := range result.Impacts {
		result.Impacts[i].LossShare /= lost
	}
	slices.SortFunc(result.Impacts, func(a, b Impact) int {
		return cmp.Or(
			cmp.Compare(b.LossShare, a.LossShare), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant),
		)
	})
	return result, true
}
