package incident

import (
	"math"

	"windflow/internal/record"
)

// outcomeSeries has the outcomes of all requests, counted in the second in which the request ended, not in the one in
// which it arrived, so that long queries are counted, too.
type outcomeSeries struct {
	classes map[string]record.Class
	fromMS  float64
	seconds []map[classKey]outcomes
}

const msPerSecond = 1000

// newOutcomeSeries adds up the intervals of all processes. It covers the time from fromMS to toMS on the reference
// clock.
func newOutcomeSeries(
	classes map[string]record.Class, processes []*process, clocks []Clock, fromMS, toMS float64,
) *outcomeSeries {
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

// value returns the value that requests of a class earned, and the value possible if all had been served within the
// latency objective. A request served on time earns the priority weight of its class, and a late one the class's share
// of it. The weight is 1 for an unknown class.
func (s *outcomeSeries) value(key classKey, ended outcomes) (earned, possible float64) {
	weight, lateShare := 1.0, 0.0
	if class, ok := s.classes[key.class]; ok && class.PriorityWeight > 0 {
		weight, lateShare = class.PriorityWeight, class.LateWeightShare
	}
	return weight * (float64(ended.onTime) + lateShare*float64(ended.late)), weight * float64(ended.total())
}

// loss returns the share of the possible value that requests of a class lost, or 0 if there are none.
func (s *outcomeSeries) loss(key classKey, ended outcomes) float64 {
	earned, possible := s.value(key, ended)
	if possible > 0 {
		return 1 - earned/possible
	}
	return 0
}

// windowLoss returns the share of value lost in the windowSeconds that end with the given second, or NaN if no request
// ended in them.
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

// sum returns the totals of the seconds for which selected returns true.
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
