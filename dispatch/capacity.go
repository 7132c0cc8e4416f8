package dispatch

import (
	"math"
	"time"
)

const (
	// threadsPerCore is the maximum number of running threads per core: the work of cores and disks overlaps up to
	// about this value, and queries of the preferred class run in addition. Under congestion the maximum falls to
	// congestedThreadsPerCore.
	threadsPerCore, congestedThreadsPerCore = 2.0, 1.2
	// congestionFrom and congestionFull are the service time ratios of the preferred class at which congestion is 0 and
	// 1.
	congestionFrom, congestionFull = 1.2, 2.2
	// largeFleetThreadsPerCore is the maximum in a large fleet without congestion, where each router's share is small
	// and uneven. There, excessFrom and excessFull are the excess service times over all classes at which congestion is
	// 0 and 1, and excessGain is the weight of one observation of the excess.
	largeFleetThreadsPerCore           = 3.0
	excessGain, excessFrom, excessFull = 0.1, 0.1, 0.5
	// lightLoadFactor raises the thread bound on a lightly loaded engine. The bound is never removed because load
	// reports lag behind.
	lightLoadFactor = 2.0
	// preferredFactor is the factor by which queries of the preferred class may exceed the thread bound, as they are
	// short and have priority.
	preferredFactor = 2.0
	// maxSlownessFactor limits how much the thread bound of a slow engine shrinks. An engine can be slow because
	// another program uses most of its cores.
	maxSlownessFactor = 3.0
	// grantHeadroom is the factor by which a memory grant exceeds the corrected estimate, because estimates vary and
	// spilling is the most expensive outcome.
	grantHeadroom = 1.25
	// recountInterval is the maximum time for which cached sums are used. It limits the effect of a fault in the code
	// that updates them.
	recountInterval = 10 * time.Second
	// grantUnitMB is the unit in which grants are added up. Sums of integers accumulate no rounding errors.
	grantUnitMB = 1.0 / 1024
)

// resources describes what engines have and what this router runs on them.
type resources struct{ cores, memoryMB, threads, grantedMB float64 }

// capacityLimiter limits the work that this router runs, on each engine and in total.
type capacityLimiter struct {
	env       *environment
	endpoints *endpointTable
	classes   *classSet
	outliers  *outlierDetector
	warmUps   *warmUpLimiter

	threads, grantedMB float64 // used by this router on all engines
	// warm adds up the resources of the warm engines; in a large fleet the engines of lost zones are left out.
	// warmGrants adds up their memory grants in units of grantUnitMB, and warming lists the engines that warm up. All
	// three are valid until recountAt; 0 means that they are recomputed at the next use.
	warm       resources
	warmGrants int64
	warming    []*engine
	recountAt  time.Duration
	// excess is how much longer answers take than in an uncongested fleet, as a share of the best service time; 0 means
	// no delay. It decays from excessAt on.
	excess   float64
	excessAt time.Duration
}

// largeFleet reports whether so many routers share the fleet that an even share of an engine is only a fraction of a
// query.
func (c *capacityLimiter) largeFleet() bool {
	cores, _ := c.endpoints.total()
	widest := float64(len(c.endpoints.listedEngines()) * c.classes.widestThreads)
	return 4*threadsPerCore*cores*c.env.fleetShare() < widest
}

// roundsShareUp reports whether an even share of an engine is at least half of a query. If so, each engine may run
// one such query, else the share is counted over all engines together. The check uses the even share, which is the same
// for all routers, because all of them would round up at the same time.
func (c *capacityLimiter) roundsShareUp(req *request) bool {
	cores, _ := c.endpoints.total()
	even := threadsPerCore * cores / float64(max(c.env.config.Routers, 1))
	return 2*even >= float64(len(c.endpoints.listedEngines())*req.class.Threads)
}

// threadBound returns the average number of threads per core that this router may run.
func (c *capacityLimiter) threadBound() float64 {
	congestion, uncongestedBound := c.congestion()
	return (uncongestedBound - (uncongestedBound-congestedThreadsPerCore)*congestion) * c.env.fleetShare()
}

// congestion returns how congested the fleet is, from 0 to 1, and the maximum number of threads per core without
// congestion.
func (c *capacityLimiter) congestion() (congestion, uncongestedBound float64) {
	if c.largeFleet() {
		excess := c.excess * c.env.decay(c.excessAt, evidenceDecayTime)
		return unitClamp((excess - excessFrom) / (excessFull - excessFrom)), largeFleetThreadsPerCore
	}
	estimate := &c.classes.preferred.estimate
	ratio := 1 + (estimate.serviceTimeRatio()-1)*c.env.decay(estimate.observedAt, evidenceDecayTime)
	return unitClamp((ratio - congestionFrom) / (congestionFull - congestionFrom)), threadsPerCore
}

// unitClamp limits a value to the range from 0 to 1.
func unitClamp(value float64) float64 { return min(max(value, 0), 1) }

// observeServiceTime records the service time of one attempt as a multiple of the best service time of its class.
func (c *capacityLimiter) observeServiceTime(ratio float64) {
	excess := c.excess * c.env.decay(c.excessAt, evidenceDecayTime)
	c.excess = excess + excessGain*(min(ratio, maxBoundedFactor)-1-excess)
	c.excessAt = c.env.now
}

// fitsFleetShare reports whether one more request fits in this router's share of the threads and the memory of the
// fleet.
func (c *capacityLimiter) fitsFleetShare(req *request) bool {
	usable := c.usable()
	grant := c.wantedGrant(req)
	memoryShare := usable.memoryMB * c.env.fleetShare()
	if grant > 0 && usable.memoryMB > 0 && usable.grantedMB > 0 && usable.grantedMB+grant > memoryShare {
		return false
	}
	if req.class == c.classes.preferred || usable.threads == 0 || c.roundsShareUp(req) {
		return true
	}
	threads := float64(req.class.Threads)
	return usable.threads+threads <= lightLoadFactor*c.threadBound()*usable.cores+lightLoadFactor*threads
}

// hasHeadroom reports whether an engine can take one more request. It considers backoff and ejection, the memory that
// this router may grant, loads that would block the request, and the thread bound, which is higher on a lightly
// loaded engine. shareFactor is the factor by which this router's share of an engine grows because the router uses
// only a subset.
func (c *capacityLimiter) hasHeadroom(target *engine, req *request, shareFactor float64) bool {
	if !c.outliers.accepts(target) || !c.pressureAllows(target, req) {
		return false
	}
	if target.warmUp.active(c.env.now) && c.env.config.WarmUp.OverloadFactor > 0 && c.largeFleet() {
		return true // the engine's slow start budget limits its requests
	}
	memoryShare := target.memoryMB * c.env.fleetShare() * shareFactor
	if target.usage.grantedMB > 0 && target.memoryMB > 0 && req.neededMB > 0 && target.usage.grantedMB >= memoryShare {
		return false
	}
	return c.threadsAllow(target, req, shareFactor)
}

// pressureAllows reports whether an engine is neither blocked by a lock nor short of memory for a request.
func (c *capacityLimiter) pressureAllows(e *engine, req *request) bool {
	limits := c.endpoints.limits(e)
	headroom := e.pressure.Headroom(req.query(), limits, c.env.nowMS())
	if headroom.BlockedByLock {
		return false
	}
	short := headroom.MemoryShare > limits.MaxMemoryShare()
	return req.class == c.classes.preferred || len(e.running) == 0 || !short
}

// threadsAllow reports whether the thread bound allows a request on an engine.
func (c *capacityLimiter) threadsAllow(target *engine, req *request, shareFactor float64) bool {
	bound, roundsUp := c.threadBound(), c.roundsShareUp(req)
	if target.pressure.HasSpareCapacity(target.cores, c.env.nowMS()) {
		bound *= lightLoadFactor
		roundsUp = true
	}
	slowness := min(max(target.health.currentSlowness(c.env), 1), maxSlownessFactor)
	engineBound := bound * target.cores * shareFactor / slowness
	if req.class == c.classes.preferred {
		return target.usage.preferredThreads+target.usage.threads < preferredFactor*engineBound
	}
	usable := c.usable()
	if target.usage.threads == 0 && (usable.threads == 0 || roundsUp) {
		return true
	}
	return target.usage.threads < engineBound && usable.threads+float64(req.class.Threads) <= bound*usable.cores
}

// wantedGrant returns the memory in MB to grant to a request: its estimate, corrected by what the class needed
// before; 0 if no estimate is known.
func (c *capacityLimiter) wantedGrant(req *request) float64 {
	if !c.env.config.Features.Grants || req.neededMB <= 0 {
		return 0
	}
	grant := req.neededMB * req.class.estimate.grantCorrection * grantHeadroom
	if limit := c.maxGrant(); limit > 0 {
		return min(grant, limit) // otherwise an extreme estimate would wait for memory that no engine grants
	}
	return grant
}

// maxGrant returns the largest memory grant in MB that any kind of engine gives to one query.
func (c *capacityLimiter) maxGrant() (largest float64) {
	for _, kind := range c.env.config.Kinds {
		largest = max(largest, kind.MemoryMB*c.env.config.Features.MaxGrantShare)
	}
	return largest
}

// grant returns the memory grant of a request on an engine, in MB.
func (c *capacityLimiter) grant(req *request, e *engine) float64 {
	grant := c.wantedGrant(req)
	if limit := e.memoryMB * c.env.config.Features.MaxGrantShare; limit > 0 {
		return min(grant, limit)
	}
	return grant
}

// attemptStarted adds a started attempt to the usage of its engine.
func (c *capacityLimiter) attemptStarted(a *attempt) {
	a.engine.running = append(a.engine.running, a)
	a.engine.pressure.AttemptStarted(a.request.query(), c.endpoints.limits(a.engine), c.env.nowMS())
	c.count(a, 1)
}

// attemptEnded removes an ended attempt from the usage of its engine.
func (c *capacityLimiter) attemptEnded(a *attempt) {
	a.engine.running = removeItem(a.engine.running, a)
	a.engine.pressure.AttemptEnded(a.request.query())
	c.count(a, -1)
}

func (c *capacityLimiter) count(a *attempt, sign float64) {
	usage := &a.engine.usage
	before := *usage
	usage.add(a, sign)
	if !a.preferred {
		c.threads += sign * float64(a.request.class.Threads)
	}
	c.grantedMB = max(c.grantedMB+sign*a.grantMB, 0)
	c.usageChanged(a.engine, before)
}

// setOtherProcess records what the other process of this router runs on an engine.
func (c *capacityLimiter) setOtherProcess(e *engine, usage EngineUsage) {
	before := e.usage
	e.usage.replaceOtherProcess(usage)
	c.threads = c.threads + usage.Threads - before.otherProcess.Threads
	c.grantedMB = max(c.grantedMB+usage.GrantedMB-before.otherProcess.GrantedMB, 0)
	c.usageChanged(e, before)
}

// usageChanged updates the sums over the warm engines after the usage of an engine has changed.
func (c *capacityLimiter) usageChanged(e *engine, before engineUsage) {
	if e.usage.countedWarm {
		c.warm.threads += e.usage.threads - before.threads
		c.warmGrants += grantUnits(e.usage.grantedMB) - grantUnits(before.grantedMB)
	}
}

// usable returns the resources that limit the total of this router's requests. In a large fleet only warm engines
// count, because the work on warming engines has a budget of its own.
func (c *capacityLimiter) usable() resources {
	if c.largeFleet() {
		return c.warmResources()
	}
	cores, memoryMB := c.endpoints.total()
	return resources{cores, memoryMB, c.threads, c.grantedMB}
}

// warmResources adds up the resources of the warm engines. In a large fleet the engines of lost zones are left out,
// because other engines serve their requests.
func (c *capacityLimiter) warmResources() resources {
	c.refresh()
	sum := c.warm
	sum.grantedMB = float64(c.warmGrants) * grantUnitMB
	return sum
}

// invalidate makes the next use recompute the sums.
func (c *capacityLimiter) invalidate() { c.recountAt = 0 }

// endpointsChanged makes the next use recompute the sums over the changed list of engines.
func (c *capacityLimiter) endpointsChanged() {
	for _, e := range c.endpoints.engines() {
		e.usage.countedWarm = false
	}
	c.invalidate()
}

// refresh recomputes the sums if they are no longer valid. They become invalid when the endpoint list or the settings
// change, an engine becomes warm or restarts, or a zone is lost or available again.
func (c *capacityLimiter) refresh() {
	if c.env.now >= c.recountAt {
		c.recount()
	}
}

func (c *capacityLimiter) recount() {
	zonesLost := c.largeFleet() && c.endpoints.zonesLost()
	c.recountAt = c.env.now + recountInterval
	c.warm, c.warmGrants = resources{}, 0
	c.warming = c.warming[:0]
	for _, e := range c.endpoints.listedEngines() {
		e.usage.countedWarm = false
		switch {
		case e.warmUp.active(c.env.now):
			c.warming = append(c.warming, e)
			c.recountAt = min(c.recountAt, e.warmUp.end)
		case !zonesLost || !e.zone.Suspect():
			e.usage.countedWarm = true
			c.warm.cores += e.cores
			c.warm.memoryMB += e.memoryMB
			c.warm.threads += e.usage.threads
			c.warmGrants += grantUnits(e.usage.grantedMB)
		}
	}
	c.warmUps.setWarming(c.warming)
}

func grantUnits(mb float64) int64 { return int64(math.Round(mb / grantUnitMB)) }
