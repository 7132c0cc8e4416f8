package dispatch

const (
	// sampleSize is the number of engines sampled to find two with headroom, and the number examined when queued
	// requests are released.
	sampleSize = 8
	// wideSampleSize is the maximum number of engines examined while zones are backed off from.
	wideSampleSize = 96
	// failureWeight scales an engine's cost by its failure share beyond the error share of the whole fleet, so that an
	// engine that fails fast does not look idle. It also keeps retries away from engines that were already tried, and
	// attracts a first request to an engine on probation.
	failureWeight = 20.0
	// minOwnZoneEngines is the number of lightly loaded engines in its own zone from which on a request stays in the
	// zone, as traffic between zones is slower. An engine is lightly loaded up to maxOwnZoneThreads per core of this
	// router's share, a slowness of maxOwnZoneSlowness and a failure share of maxOwnZoneFailureShare.
	minOwnZoneEngines, maxOwnZoneThreads       = 2, 2.0
	maxOwnZoneSlowness, maxOwnZoneFailureShare = 1.5, 0.1
	// minCostSlowness is the lower limit of the slowness in the cost, so that a fast engine is not favoured too much.
	minCostSlowness = 0.5
)

// selector chooses the engine for a request: of two random engines with headroom, the one with less work from this
// router.
type selector struct {
	subsetChooser
	outliers *outlierDetector
	warmUps  *warmUpLimiter
	retries  *retryRules
	ordering *keyOrder
	ownZone  []*engine // buffer of lightlyLoadedInOwnZone
}

// pick returns a warming engine for which this router has budget, else the cheaper of two sampled engines with
// headroom, or nil if there is none.
func (s *selector) pick(req *request) *engine {
	candidates := s.enginesFor(req)
	if s.ordering.blocks(req) || len(candidates) == 0 {
		return nil
	}
	if e := s.warmingWithBudget(req); e != nil || !s.capacity.fitsFleetShare(req) {
		return e
	}
	if !s.capacity.largeFleet() {
		if local := s.lightlyLoadedInOwnZone(candidates, req); len(local) >= minOwnZoneEngines {
			candidates = local
		}
	}
	var first *engine
	for range sampleSize {
		e := candidates[s.env.random.IntN(len(candidates))]
		if e == first || !s.eligible(e, req) {
			continue
		}
		if first == nil {
			first = e
			continue
		}
		cheaper := first
		if s.cost(e, req) < s.cost(first, req) {
			cheaper = e
		}
		if cheaper.health.ejected(s.env) {
			break // both candidates are ejected: examine more engines
		}
		return cheaper
	}
	return s.cheapest(req)
}

// eligible reports whether the retry rules and the engine's headroom allow a request to start on it now.
func (s *selector) eligible(e *engine, req *request) bool {
	return s.retries.allows(req, e) && s.capacity.hasHeadroom(e, req, s.shareFactor())
}

// lightlyLoadedInOwnZone returns the engines in this router's zone that are lightly loaded and have headroom.
func (s *selector) lightlyLoadedInOwnZone(candidates []*engine, req *request) []*engine {
	s.ownZone = s.ownZone[:0]
	for _, e := range candidates {
		if e.Zone == s.env.config.Zone && s.isLightlyLoaded(e) && s.eligible(e, req) {
			s.ownZone = append(s.ownZone, e)
		}
	}
	return s.ownZone
}

// isLightlyLoaded reports whether an engine is warm and healthy and has little work from this router.
func (s *selector) isLightlyLoaded(e *engine) bool {
	if e.warmUp.active(s.env.now) || e.health.currentSlowness(s.env) > maxOwnZoneSlowness ||
		e.health.currentFailureShare(s.env) > maxOwnZoneFailureShare {
		return false
	}
	return e.usage.threads+e.usage.preferredThreads < maxOwnZoneThreads*s.env.fleetShare()*e.cores
}

// cheapest returns a warming engine for which this router has budget, else the engine of the subset with headroom and
// the lowest cost. If none has headroom, it returns the best of a few other engines unless the request is bound to its
// table group, or nil if there is none.
func (s *selector) cheapest(req *request) *engine {
	listed := s.endpoints.listedEngines()
	if len(listed) == 0 {
		return nil
	}
	if e := s.warmingWithBudget(req); e != nil || !s.capacity.fitsFleetShare(req) {
		return e
	}
	candidates := s.enginesFor(req)
	e := s.cheapestOf(req, candidates, len(candidates))
	if e != nil || len(candidates) == len(listed) || s.boundToTableGroup(req, candidates) {
		return e
	}
	samples := sampleSize
	if s.endpoints.zonesBackedOff() > 0 {
		samples = max(sampleSize, min(len(listed), wideSampleSize))
	}
	return s.cheapestOf(req, listed, samples)
}

// boundToTableGroup reports whether a request has to stay on the engines of its table group. This holds as long as
// half of them accept work: on other engines, loads and the requests that they block would delay each other.
func (s *selector) boundToTableGroup(req *request, candidates []*engine) bool {
	accepting := 0
	for _, e := range candidates {
		if s.outliers.accepts(e) {
			accepting++
		}
	}
	usesTableLock := req.class.LocksTableGroup || req.class.BlockedByLoad
	return s.classes.anyBlockedByLoad && usesTableLock && 2*accepting >= len(candidates)
}

// warmingWithBudget returns the cheapest warming engine for which this router has budget, whether or not it is in the
// subset.
func (s *selector) warmingWithBudget(req *request) *engine {
	if !s.capacity.largeFleet() {
		return nil
	}
	warming := s.warmUps.enginesWithBudget()
	return s.cheapestOf(req, warming, len(warming))
}

// cheapestOf examines some of the candidates, beginning at a random one so that ties are broken randomly. Large
// samples are spread evenly, because neighbouring engines may have failed together.
func (s *selector) cheapestOf(req *request, candidates []*engine, samples int) *engine {
	var best *engine
	lowest := 0.0
	first := s.env.random.IntN(max(len(candidates), 1))
	step := 1
	if samples > sampleSize {
		step = max(len(candidates)/samples, 1)
	}
	for i := range samples {
		e := candidates[(first+i*step)%len(candidates)]
		if !s.eligible(e, req) {
			continue
		}
		if cost := s.cost(e, req); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// cost returns this router's work per core on an engine with one more request, scaled by the evidence against the
// engine.
func (s *selector) cost(e *engine, req *request) float64 {
	failures := max(e.health.currentFailureShare(s.env)-s.outliers.errorShare, 0)
	scale := max(e.health.currentSlowness(s.env), minCostSlowness) * (1 + failureWeight*failures)
	scale *= e.pressure.CostFactor(e.cores, s.env.nowMS()) / s.warmUps.capacityShare(e)
	if e.health.onProbation && len(e.running) == 0 {
		scale /= failureWeight
	}
	for _, a := range req.attempts {
		if a.engine == e {
			scale *= failureWeight
		}
	}
	return (e.usage.work + req.work()) / e.cores * scale
}
