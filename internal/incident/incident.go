package incident

import (
	"cmp"
	"math"
	"slices"
)

const (
	// An incident begins when the loss over windowSeconds exceeds the baseline by more than RiseThreshold. It ends when
	// the loss has exceeded the baseline by at most fallThreshold for recoverySeconds. Incidents shorter than
	// minSeconds are ignored, and two that are at most mergeSeconds apart are merged.
	windowSeconds, minSeconds, recoverySeconds, mergeSeconds = 3, 2, 3, 5
	fallThreshold                                            = 0.04
	// RiseThreshold is the excess of the loss over the baseline, as a share of value, above which an incident begins.
	RiseThreshold = 0.08
	// baselineQuantile is the quantile of the losses of all seconds that serves as the baseline.
	baselineQuantile = 0.25
)

// Incident is a time range in which requests lost more value than usual. The value of a request is the priority weight
// of its class.
type Incident struct {
	FromMS, ToMS float64
	Loss         float64  // share of the value of all requests that was lost
	Impacts      []Impact // sorted by LossShare, largest first
}

// Impact describes how an incident affected the requests of one class and tenant.
type Impact struct {
	Class, Tenant          string
	Late, Rejected, Failed int
	Ended                  int     // number of requests that ended
	Loss                   float64 // share of the value of its requests that was lost
	BaselineLoss           float64 // the same share outside incidents
	LossShare              float64 // its share of the value lost by all classes and tenants
}

// secondRange is a range of seconds of the timeline, including both ends.
type secondRange struct{ first, last int }

// addIncidents sets the losses, the baseline and the incidents of the timeline.
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

// baselineOf returns the usual loss, or false if no request ended in any second. NaN marks a second without requests.
func baselineOf(losses []float64) (baseline float64, ok bool) {
	known := slices.DeleteFunc(slices.Clone(losses), math.IsNaN)
	if len(known) == 0 {
		return 0, false
	}
	slices.Sort(known)
	return known[int(baselineQuantile*float64(len(known)-1))], true
}

// incidentRanges returns the ranges of seconds in which the loss exceeds the baseline, without regard to minSeconds.
// Ranges at most mergeSeconds apart are merged.
func incidentRanges(losses []float64, baseline float64) (ranges []secondRange) {
	for second := 0; second < len(losses); second++ {
		if !(losses[second] > baseline+RiseThreshold) { // a negated comparison, so that NaN is skipped, too
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

// lastBadSecond returns the last second with a loss above limit, searching from first until the loss has stayed within
// the limit for recoverySeconds in a row.
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

// describeIncident describes the incident in a range of seconds. outside has the outcomes of requests outside all
// incidents. It returns false if nothing was lost.
func (s *outcomeSeries) describeIncident(found secondRange, outside map[classKey]outcomes) (Incident, bool) {
	first := max(found.first-windowSeconds+1, 0) // start of the loss window of the first second
	result := Incident{
		FromMS: s.fromMS + msPerSecond*float64(first), ToMS: s.fromMS + msPerSecond*float64(found.last+1),
	}
	var lost, possible float64
	for key, ended := range s.sum(func(second int) bool { return first <= second && second <= found.last }) {
		classEarned, classPossible := s.value(key, ended)
		lost, possible = lost+classPossible-classEarned, possible+classPossible
		result.Impacts = append(result.Impacts, Impact{
			Class: key.class, Tenant: key.tenant, Late: ended.late, Rejected: ended.rejected, Failed: ended.failed,
			Ended: ended.total(), Loss: s.loss(key, ended), BaselineLoss: s.loss(key, outside[key]),
			LossShare: classPossible - classEarned, // normalized below
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
