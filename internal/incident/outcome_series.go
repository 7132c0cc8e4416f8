package incident

import (
	"math"

	"windflow/internal/record"
)

// outcomeSeries has the outcomes of all requests by the second in which they ended, so that long queries count too.
type outcomeSeries struct {
	classes map[string]record.Class
	fromMS  float64
	seconds []map[classKey]outcomes
}

const msPerSecond = 1000

// newOutcomeSeries sums up the intervals of all processes from fromMS to toMS on the reference clock.
func newOutcomeSeries(classes map[string]record.Class, processes []*process, clocks []Clock, fromMS, toMS float64) *outcomeSeries {
	s := &outcomeSeries{
		classes: classes, fromMS: fromMS,
		seconds: make([]map[classKey]outcomes, int((toMS-fromMS)/msPerSecond)+1),
	}
	for i, process := range processes {
		for _, added := range process.intervals {
			s.add(clocks[i].Correct(added.atMS), added.classes)
		}
	}
	return s
}

func (s *outcomeSeries) add(atMS float64, classes map[classKey]outcomes) {
	second := min(max(int((atMS-s.fromMS)/msPerSecond), 0), len(s.seconds)-1)
	if s.seconds[second] == nil {
		s.seconds[second] = map[classKey]outcomes{}
	}
	for key, ended := range classes {
		s.seconds[second][key] = s.seconds[second][key].plus(ended)
	}
}

// value returns the value that requests of a class earned, and what they would have earned had all been served in
// time: by the priority weight of the class, of which a late answer earns a share.
func (s *outcomeSeries) value(key classKey, ended outcomes) (earned, possible float64) {
	weight, lateShare := 1.0, 0.0
	if class, ok := s.classes[key.class]; ok && class.PriorityWeight > 0 {
		weight, lateShare = class.PriorityWeight, class.LateWeightShare
	}
	return weight * (float64(ended.onTime) + lateShare*float64(ended.late)), weight * float64(ended.total())
}

// lossShare returns the share of value that requests of a class lost, and 0 where none could have earned any.
func (s *outcomeSeries) lossShare(key classKey, ended outcomes) float64 {
	earned, possible := s.value(key, ended)
	if possible > 0 {
		return 1 - earned/possible
	}
	return 0
}

// windowLoss returns the share of value lost in the windowSeconds that end with that second, NaN where no request
// ended.
func (s *outcomeSeries) windowLoss(second int) float64 {
	var earned, possible float64
	for i := max(second-windowSeconds+1, 0); i <= second; i++ {
		for key, ended := range s.seconds[i] {
			classEarned, classPossible := s.value(key, ended)
			earned, possible = earned+classEarned, possible+classPossible
		}
	}
	if possible > 0 {
		return 1 - earned/possible
	}
	return math.NaN()
}

// sum adds up the outcomes of the seconds that selected accepts.
func (s *outcomeSeries) sum(selected func(second int) bool) map[classKey]outcomes {
	sums := map[classKey]outcomes{}
	for second, classes := range s.seconds {
		if !selected(second) {
			continue
		}
		for key, ended := range classes {
			sums[key] = sums[key].plus(ended)
		}
	}
	return sums
}
