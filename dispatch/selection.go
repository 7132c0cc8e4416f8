package dispatch

const (
	// sampleSize is how many engines are drawn for two with headroom, and looked at when queued requests are released.
	sampleSize = 8
	// wideSampleSize is how many are looked at, at most, where zones are cut off.
	wideSampleSize = 96
	// failureWeight scales an engine's cost by its failure share over the breaks of all, so that an engine that fails
	// fast does not look idle. It also keeps retries off the same engine, and sends a first request to one on
	// probation.
	failureWeight = 20.0
	// minOwnZoneEngines is from how many calm engines of its own zone on a request stays in its zone, since traffic
	// between zones is slower. They are calm up to maxOwnZoneThreads a core of this router's share, maxCalmSlowness
	// and maxCalmFailureShare.
	minOwnZoneEngines, maxOwnZoneThreads       = 2, 2.0
	maxOwnZoneSlowness, maxOwnZoneFailureShare = 1.5, 0.1
	// minCostSlowness bounds how much a fast engine is favoured.
	minCostSlowness = 0.5
)

// selector chooses the engine for a request: of two random ones with headroom, the one with less of this router's work.
type selector struct {
	subsetChooser
	outliers *outlierDetector
	warmUps  *warmUpLimiter
	retries  *retryRules
	ordering *keyOrder
	ownZone  []*engine // see calmInOwnZone
}

// pick draws two engines of those with headroom and takes the one with the lower cost; nil if there is none.
func (s *selector) pick(req *request) *engine {
	candidates := s.enginesFor(req)
	if s.ordering.blocks(req) || len(candidates) == 0 {
		return nil
	}
	if e := s.warmingWithBudget(req); e != nil || !s.capacity.fitsFleetShare(req) {
		return e
	}
	if !s.capacity.largeFleet() {
		if calm := s.lightlyLoadedInOwnZone(candidates, req); len(calm) >= minOwnZoneEngines {
			candidates = calm
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
			break // both are bad: look at more
		}
		return cheaper
	}
	return s.cheapest(req)
}

// eligible reports whether a request may start on an engine now, by the rules and by the engine's headroom.
func (s *selector) eligible(e *engine, req *request) bool {
	return s.retries.allows(req, e) && s.capacity.hasHeadroom(e, req, s.shareFactor())
}

// calmInOwnZone returns the engines of this router's zone that are calm and have headroom.
func (s *selector) lightlyLoadedInOwnZone(candidates []*engine, req *request) []*engine {
	s.ownZone = s.ownZone[:0]
	for _, e := range candidates {
		if e.Zone == s.env.config.Zone && s.isLightlyLoaded(e) && s.eligible(e, req) {
			s.ownZone = append(s.ownZone, e)
		}
	}
	return s.ownZone
}

// isCalm reports whether an engine is warm, healthy and has little of this router's work.
func (s *selector) isLightlyLoaded(e *engine) bool {
	if e.warmUp.active(s.env.now) || e.health.currentSlowness(s.env) > maxOwnZoneSlowness ||
		e.health.currentFailureShare(s.env) > maxOwnZoneFailureShare {
		return false
	}
	return e.usage.threads+e.usage.preferredThreads < maxOwnZoneThreads*s.env.fleetShare()*e.cores
}

// cheapest returns the engine of the subset with headroom and the lowest cost or, where none has headroom, the best of
// a few others; nil if there is none.
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

// boundToTableGroup reports whether a request has to keep to the engines of its table group, for as long as half of
// them accept work: on other engines, loads and the requests that they block would delay each other.
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

// warmingWithBudget returns the cheapest warming engine, wherever it is, that this router has budget for.
func (s *selector) warmingWithBudget(req *request) *engine {
	if !s.capacity.largeFleet() {
		return nil
	}
	warming := s.warmUps.enginesWithBudget()
	return s.cheapestOf(req, warming, len(warming))
}

// cheapestOf looks at some of the candidates, from a random one on, so that ties fall on any of them; many looks are
// spread evenly, since neighbours may have failed together.
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

// cost is this router's work a core on an engine with one more request, scaled by the evidence against the engine.
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
