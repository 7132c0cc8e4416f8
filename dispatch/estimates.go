package dispatch

import (
	"math"
	"time"
)

const (
	// meanGain is the weight of one observation in a class's averages over all engines.
	meanGain = 0.03
	// evidenceDecayTime is the time in which the weight of evidence falls to 1/e if no new evidence arrives.
	evidenceDecayTime = 5 * time.Second
	// maxEstimateFactor is the maximum ratio between a client's estimate and the mean of its class, in both directions.
	// An extreme estimate would otherwise outweigh all others of a day.
	maxEstimateFactor = 100.0
	// minServiceTime is the minimum observed service time in seconds, as observations are divided by means.
	minServiceTime = 1e-6
	// maxServiceTimeFactor is the maximum ratio of an observed service time to the mean.
	maxServiceTimeFactor = 20.0
	// maxBoundedFactor is the maximum ratio of an observed service time to the best mean, in the bounded mean and in
	// the fleet's excess service time. It keeps a few queries blocked by a load from being mistaken for congestion.
	maxBoundedFactor = 4.0
	// fewObservations and manyObservations are the numbers of observations for which the best mean follows the mean, in
	// a large and in a small fleet. Until manyObservations is reached, all observations have the same weight in the
	// mean.
	fewObservations, manyObservations = 8, 30
	// spillGain is the weight of one spilling query in the grant correction.
	spillGain = 0.05
	// noSpillFactor is the factor applied to the grant correction for each query that did not spill. The correction
	// does not fall below minGrantCorrection.
	noSpillFactor, minGrantCorrection = 0.995, 0.3
)

// serviceEstimate holds what has been learned about the service times of a class. A service time is the elapsed time
// of a query multiplied by its threads, in seconds, and divided by the client's estimate if there is one.
type serviceEstimate struct {
	mean            float64
	bounded         float64 // mean of individually bounded times; it shows how congested the fleet is
	best            float64 // lowest mean so far, as in an uncongested fleet
	clientEstimate  float64 // mean of the clients' estimates; 1 without any
	grantCorrection float64 // memory needed divided by the client's estimate
	observations    float64
	observedAt      time.Duration
}

// newServiceEstimate returns an initial estimate of a quarter of the latency objective for each thread. The first
// answers correct it.
func newServiceEstimate(settings Class) serviceEstimate {
	guess := settings.LatencyObjective.Seconds() / 4 * float64(settings.Threads)
	return serviceEstimate{mean: guess, bounded: guess, best: guess, clientEstimate: 1, grantCorrection: 1}
}

// current returns the mean, which decays towards the best mean while nothing is observed. Thus a class that seemed
// too slow during congestion is tried again after a while.
func (s *serviceEstimate) current(env *environment) float64 {
	return s.best + (s.mean-s.best)*env.decay(s.observedAt, evidenceDecayTime)
}

// usualWork returns the usual work of the class in core seconds.
func (s *serviceEstimate) usualWork() float64 { return s.clientEstimate * s.best }

// serviceTimeRatio returns the bounded mean divided by the best mean; 1 means an uncongested fleet.
func (s *serviceEstimate) serviceTimeRatio() float64 { return s.bounded / s.best }

// learnClientEstimate records a client's estimate of the work of its request, in seconds, and returns the estimate
// within its limits. longest is the work that takes as long as the latency objective. The first estimate sets the
// service times to 1, because they are divided by the client's estimate from then on.
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

// observe records the service time of one attempt. In a large fleet each router sees few attempts, so the best mean
// is fixed after fewer observations.
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

// learnMemoryNeed updates the grant correction with the memory that a query needed compared to its estimate.
func (s *serviceEstimate) learnMemoryNeed(neededMB, estimatedMB float64) {
	s.grantCorrection += meanGain * (neededMB/estimatedMB - s.grantCorrection)
}

// learnSpill raises the grant correction after a query that needed more memory than it was granted.
func (s *serviceEstimate) learnSpill(neededMB, estimatedMB float64) {
	s.grantCorrection += spillGain * (neededMB/estimatedMB - s.grantCorrection)
}

// learnNoSpill lowers the grant correction after a query that did not spill with its grant.
func (s *serviceEstimate) learnNoSpill() {
	s.grantCorrection = max(s.grantCorrection*noSpillFactor, minGrantCorrection)
}

// snapshot returns the state that another process of this router takes over.
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

// restore replaces the estimate by a snapshot. A snapshot with an invalid value is ignored, as it may come from
// another version of the program.
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

// finiteOrZero returns a value sent by a client, or 0 if it is not a positive finite number.
func finiteOrZero(value float64) float64 {
	if !(value > 0) || math.IsInf(value, 1) {
		return 0
	}
	return value
}
