package dispatch

import (
	"math"
	"time"
)

const (
	// threadsPerCore is the bound on running threads a core: cores and disks overlap up to about there, and queries
	// of the preferred class run beside it. Under congestion it goes down to congestedThreadsPerCore.
	threadsPerCore, congestedThreadsPerCore = 2.0, 1.2
	// congestionFrom and congestionFull are the service time ratios of the preferred class at which congestion is 0 and
	// 1.
	congestionFrom, congestionFull = 1.2, 2.2
	// largeFleetThreadsPerCore is the bound in a large fleet without congestion: shares are small there, and uneven.
	// excessFrom and excessFull are the excess service times of all classes at which congestion is 0 and 1 there;
	// excessGain is the weight of one observation.
	largeFleetThreadsPerCore           = 3.0
	excessGain, excessFrom, excessFull = 0.1, 0.1, 0.5
	// calmFactor is the factor by which the bound is raised on a calm engine; reports lag, so it is never lifted.
	lightLoadFactor = 2.0
	// preferredFactor is how far preferred queries may exceed the bound: they are short and go first.
	preferredFactor = 2.0
	// maxSlownessFactor bounds how far the bound on an engine shrinks with its slowness: another program may have
	// most of its cores.
	maxSlownessFactor = 3.0
	// grantHeadroom is granted over the corrected estimate: estimates scatter, and spilling costs most.
	grantHeadroom = 1.25
	// recountInterval is how long sums are valid at most: it bounds what a fault in updating them could cost.
	recountInterval = 10 * time.Second
	// grantUnitMB is the unit of sums of grants: sums of integers leave no rounding error behind.
	grantUnitMB = 1.0 / 1024
)

// resources are what engines have, and what this router has running there.
type resources struct{ cores, memoryMB, threads, grantedMB float64 }

// capacityLimiter bounds what this router runs, on each engine and in total.
type capacityLimiter struct {
	env       *environment
	endpoints *endpointTable
	classes   *classSet
	outliers  *outlierDetector
	warmUps   *warmUpLimiter

	threads, grantedMB float64 // what this router has running, on all engines
	// warm sums up the warm engines, in a large fleet without those of lost zones; warmGrants are the grants there,
	// in units, and warming are the other engines that are not warm. All are valid until recountAt; 0 has them
	// computed at once.
	warm       resources
	warmGrants int64
	warming    []*engine
	recountAt  time.Duration
	// excess is how much longer answers take than in a calm fleet: 0 for not at all.
	excess   float64
	excessAt time.Duration
}

// largeFleet reports whether so many routers share the fleet that an even share of an engine is a fraction of a query.
func (c *capacityLimiter) largeFleet() bool {
	cores, _ := c.endpoints.total()
	widest := float64(len(c.endpoints.listedEngines()) * c.classes.widestThreads)
	return 4*threadsPerCore*cores*c.env.fleetShare() < widest
}

// roundsUp reports whether an even share of an engine is half of a query or more: then each engine may run one, else
// the share counts over all engines together. It uses even shares, since all routers would round up at once.
func (c *capacityLimiter) roundsShareUp(req *request) bool {
	cores, _ := c.endpoints.total()
	even := threadsPerCore * cores / float64(max(c.env.config.Routers, 1))
	return 2*even >= float64(len(c.endpoints.listedEngines())*req.class.Threads)
}

// threadBound is the threads a core that this router may run in the mean.
func (c *capacityLimiter) threadBound() float64 {
	congestion, uncongestedBound := c.congestion()
	return (uncongestedBound - (uncongestedBound-congestedThreadsPerCore)*congestion) * c.env.fleetShare()
}

// congestion is how congested the fleet is, from 0 to 1, and the threads a core without congestion.
func (c *capacityLimiter) congestion() (congestion, uncongestedBound float64) {
	if c.largeFleet() {
		excess := c.excess * c.env.decay(c.excessAt, evidenceDecayTime)
		return unitClamp((excess - excessFrom) / (excessFull - excessFrom)), largeFleetThreadsPerCore
	}
	estimate := &c.classes.preferred.estimate
	ratio := 1 + (estimate.serviceTimeRatio()-1)*c.env.decay(estimate.observedAt, evidenceDecayTime)
	return unitClamp((ratio - congestionFrom) / (congestionFull - congestionFrom)), threadsPerCore
}

// unitClamp bounds a value to the range from 0 to 1.
func unitClamp(value float64) float64 { return min(max(value, 0), 1) }

// observeServiceTime takes the service time of one attempt over the best one of its class.
func (c *capacityLimiter) observeServiceTime(ratio float64) {
	excess := c.excess * c.env.decay(c.excessAt, evidenceDecayTime)
	c.excess = excess + excessGain*(min(ratio, maxBoundedFactor)-1-excess)
	c.excessAt = c.env.now
}

// fits reports whether this router may run one more request at all: its share of the fleet's threads and memory.
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

// hasHeadroom reports whether an engine may take one more request: it considers backoff and ejection, the memory
// that this router may grant, loads that would block the request, and the thread bound, which is raised on a
// calm engine. spread is by how much this router's share grows on an engine since it uses few of them.
func (c *capacityLimiter) hasHeadroom(target *engine, req *request, shareFactor float64) bool {
	if !c.outliers.accepts(target) || !c.pressureAllows(target, req) {
		return false
	}
	if target.warmUp.active(c.env.now) && c.env.config.WarmUp.OverloadFactor > 0 && c.largeFleet() {
		return true // its slow start budget is the bound
	}
	memoryShare := target.memoryMB * c.env.fleetShare() * shareFactor
	if target.usage.grantedMB > 0 && target.memoryMB > 0 && req.neededMB > 0 && target.usage.grantedMB >= memoryShare {
		return false
	}
	return c.threadsAllow(target, req, shareFactor)
}

// pressureAllows reports whether neither a lock nor a lack of memory on an engine speaks against a request.
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
	if target.pressure.Calm(target.cores, c.env.nowMS()) {
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

// wantedGrant is the memory that a request needs: its estimate, corrected by what spilled; 0 where nothing is known.
func (c *capacityLimiter) wantedGrant(req *request) float64 {
	if !c.env.config.Features.Grants || req.neededMB <= 0 {
		return 0
	}
	grant := req.neededMB * req.class.estimate.grantCorrection * grantHeadroom
	if limit := c.maxGrant(); limit > 0 {
		return min(grant, limit) // a wild estimate would wait for memory that no engine grants
	}
	return grant
}

// maxGrant is the most that any kind of engine grants to one query.
func (c *capacityLimiter) maxGrant() (largest float64) {
	for _, kind := range c.env.config.Kinds {
		largest = max(largest, kind.MemoryMB*c.env.config.Features.MaxGrantShare)
	}
	return largest
}

// grant is the memory grant of a request on an engine.
func (c *capacityLimiter) grant(req *request, e *engine) float64 {
	grant := c.wantedGrant(req)
	if limit := e.memoryMB * c.env.config.Features.MaxGrantShare; limit > 0 {
		return min(grant, limit)
	}
	return grant
}

// attemptStarted counts an attempt on its engine.
func (c *capacityLimiter) attemptStarted(a *attempt) {
	a.engine.running = append(a.engine.running, a)
	a.engine.pressure.AttemptStarted(a.request.query(), c.endpoints.limits(a.engine), c.env.nowMS())
	c.count(a, 1)
}

// attemptEnded removes an attempt from its engine.
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

// setOtherProcess counts what the other process of this router has running on an engine.
func (c *capacityLimiter) setOtherProcess(e *engine, usage EngineUsage) {
	before := e.usage
	e.usage.replaceOtherProcess(usage)
	c.threads = c.threads + usage.Threads - before.otherProcess.Threads
	c.grantedMB = max(c.grantedMB+usage.GrantedMB-before.otherProcess.GrantedMB, 0)
	c.usageChanged(e, before)
}

// usageChanged updates the sums over the warm engines.
func (c *capacityLimiter) usageChanged(e *engine, before engineUsage) {
	if e.usage.countedWarm {
		c.warm.threads += e.usage.threads - before.threads
		c.warmGrants += grantUnits(e.usage.grantedMB) - grantUnits(before.grantedMB)
	}
}

// usable is what the bounds on all of this router's requests go by: in a large fleet the warm engines, since what
// warming ones run has a budget of its own.
func (c *capacityLimiter) usable() resources {
	if c.largeFleet() {
		return c.warmResources()
	}
	cores, memoryMB := c.endpoints.total()
	return resources{cores, memoryMB, c.threads, c.grantedMB}
}

// warmResources sums up the warm engines; in a large fleet those of lost zones are left out: others serve their part.
func (c *capacityLimiter) warmResources() resources {
	c.refresh()
	sum := c.warm
	sum.grantedMB = float64(c.warmGrants) * grantUnitMB
	return sum
}

// invalidate marks the sums for a new computation at their next use.
func (c *capacityLimiter) invalidate() { c.recountAt = 0 }

// endpointsChanged marks the sums for a new computation over the changed engines.
func (c *capacityLimiter) endpointsChanged() {
	for _, e := range c.endpoints.engines() {
		e.usage.countedWarm = false
	}
	c.invalidate()
}

// refresh recomputes the sums if they are no longer valid: the endpoint list or the settings have changed, an
// engine has become warm or has restarted, or a zone is lost or found.
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
