package dispatch

import (
	"math"
	"time"
)

const (
	// meanGain is the weight of one observation in a class's means over all engines.
	meanGain = 0.03
	// evidenceLife is the time in which evidence fades to 1/e when nothing renews it.
	evidenceDecayTime = 5 * time.Second
	// maxEstimateFactor bounds an estimate against the class's mean, both ways: a wild one would outweigh a day of
	// others.
	maxEstimateFactor = 100.0
	// minServiceTime is the least time that is observed, in seconds: means are divided by it.
	minServiceTime = 1e-6
	// maxServiceTimeFactor bounds an observed time against the mean.
	maxServiceTimeFactor = 20.0
	// maxBoundedFactor bounds an observed time against the best mean, in the bounded mean and in the fleet's excess
	// service time: a few queries that a load blocked must not pass for congestion.
	maxBoundedFactor = 4.0
	// fewObservations and manyObservations are how many observations the best mean follows the mean, in a large fleet
	// and in a small one. Up to manyObservations each one has the same weight in the mean.
	fewObservations, manyObservations = 8, 30
	// spillGain is the weight of one spilling query in the grant correction.
	spillGain = 0.05
	// noSpillFactor is what a query that did not spill leaves of the grant correction, down to minGrantCorrection.
	noSpillFactor, minGrantCorrection = 0.995, 0.3
)

// serviceEstimate is what has been learned of a class's service times. Times are those of a query on one thread times
// its threads, in seconds, divided by the client's estimate where there is one.
type serviceEstimate struct {
	mean            float64
	bounded         float64 // mean of times that are bounded one by one; it shows how congested the fleet is
	best            float64 // least mean so far, that of a calm fleet
	clientEstimate  float64 // mean of the clients' estimates, 1 without any
	grantCorrection float64 // memory needed over the client's estimate
	observations    float64
	observedAt      time.Duration
}

// newServiceEstimate starts from a quarter of the latency objective on each thread; the first answers correct it.
func newServiceEstimate(settings Class) serviceEstimate {
	guess := settings.LatencyObjective.Seconds() / 4 * float64(settings.Threads)
	return serviceEstimate{mean: guess, bounded: guess, best: guess, clientEstimate: 1, grantCorrection: 1}
}

// current is the mean, which decays to the best one while nothing is observed: a class that congestion made look
// too slow is tried again in time.
func (s *serviceEstimate) current(env *environment) float64 {
	return s.best + (s.mean-s.best)*env.decay(s.observedAt, evidenceDecayTime)
}

// usualWork is the class's usual work in core seconds.
func (s *serviceEstimate) usualWork() float64 { return s.clientEstimate * s.best }

// serviceTimeRatio is the bounded mean over the best one: 1 for a calm fleet.
func (s *serviceEstimate) serviceTimeRatio() float64 { return s.bounded / s.best }

// learnClientEstimate takes a client's estimate of its request's work in seconds and returns it, bounded.
// longest is the work that takes as long as the latency objective.
func (s *serviceEstimate) learnClientEstimate(estimate, longest float64) float64 {
	if s.observations == 0 {
		s.clientEstimate = min(max(estimate, longest/maxEstimateFactor), longest)
		s.mean, s.bounded, s.best = 1, 1, 1
		s.observations = 1
	}
	estimate = min(max(estimate, s.clientEstimate/maxEstimateFactor), maxEstimateFactor*s.clientEstimate)
	s.clientEstimate += meanGain * (estimate - s.clientEstimate)
	return estimate
}

// observe learns from the service time of one attempt. In a large fleet a router sees few of them, so that the best
// mean is fixed sooner.
func (s *serviceEstimate) observe(env *environment, serviceTime float64, largeFleet bool) {
	gain := meanGain
	if s.observations < manyObservations {
		s.observations++
		gain = max(gain, 1/s.observations)
	}
	s.mean = s.current(env)
	s.observedAt = env.now
	s.mean += gain * (min(serviceTime, maxServiceTimeFactor*s.mean) - s.mean)
	s.bounded += gain * (min(serviceTime, maxBoundedFactor*s.best) - s.bounded)
	learning := s.observations < fewObservations || s.observations < manyObservations && !largeFleet
	if learning || s.mean < s.best {
		s.best = s.mean
	}
}

// learnNeed learns the memory that a query needed against its estimate.
func (s *serviceEstimate) learnMemoryNeed(neededMB, estimatedMB float64) {
	s.grantCorrection += meanGain * (neededMB/estimatedMB - s.grantCorrection)
}

// learnSpill learns that a query would have needed more than it was granted.
func (s *serviceEstimate) learnSpill(neededMB, estimatedMB float64) {
	s.grantCorrection += spillGain * (neededMB/estimatedMB - s.grantCorrection)
}

// learnNoSpill learns that a query did not spill with what it was granted.
func (s *serviceEstimate) learnNoSpill() {
	s.grantCorrection = max(s.grantCorrection*noSpillFactor, minGrantCorrection)
}

// snapshot is what another process of this router takes over.
func (s *serviceEstimate) snapshot(name string) ClassSnapshot {
	return ClassSnapshot{
		Name:               name,
		MeanServiceTime:    s.mean,
		BoundedServiceTime: s.bounded,
		BestServiceTime:    s.best,
		MeanEstimate:       s.clientEstimate,
		GrantCorrection:    s.grantCorrection,
		Observations:       s.observations,
		ObservedAt:         s.observedAt,
	}
}

// restore takes over a snapshot, unless a figure in it makes no sense: it may come from another version of the program.
func (s *serviceEstimate) restore(old ClassSnapshot) {
	for _, value := range []float64{
		old.Observations, old.MeanServiceTime, old.BoundedServiceTime, old.BestServiceTime,
		old.MeanEstimate, old.GrantCorrection,
	} {
		if !(value > 0) {
			return
		}
	}
	*s = serviceEstimate{
		mean:            old.MeanServiceTime,
		bounded:         old.BoundedServiceTime,
		best:            old.BestServiceTime,
		clientEstimate:  old.MeanEstimate,
		grantCorrection: old.GrantCorrection,
		observations:    old.Observations,
		observedAt:      old.ObservedAt,
	}
}

// finiteOrZero returns a client's figure, or 0 if it is unknown, not finite or not above 0.
func finiteOrZero(value float64) float64 {
	if !(value > 0) || math.IsInf(value, 1) {
		return 0
	}
	return value
}
