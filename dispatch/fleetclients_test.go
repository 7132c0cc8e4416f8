package dispatch

import (
	"fmt"
	"math"
	"time"
)

// fleetMaxTries is how often a client sends a request at most.
const fleetMaxSends = 3

// fleetRequest is a request of a client, which may send it again after a rejection.
type fleetRequest struct {
	id           RequestID
	class        int
	work         float64
	arrivedAt    time.Duration // for the first time
	objective    time.Duration
	deadline     time.Duration
	earlierTries int // before this one
	attempts     int
	preferred    bool
}

// again is the request as the client sends it once more.
func (r *fleetRequest) retry() *fleetRequest {
	return &fleetRequest{
		class: r.class, work: r.work, arrivedAt: r.arrivedAt, objective: r.objective, deadline: r.deadline,
		earlierTries: r.earlierTries + 1,
	}
}

// fleetClients are the clients of a simulation.
type fleetClients struct{ *fleetSimulation }

// scheduleTraffic schedules requests of the clients of all routers at random times.
func (f fleetClients) scheduleTraffic() {
	scenario, weights := &f.scenario, 0.0
	for _, router := range f.routers {
		weights += router.weight
	}
	cores := float64(scenario.engines * scenario.cores)
	perSecond := scenario.offeredLoad * cores * fleetDiskWorkFactor * fleetUtilization / meanFleetWork()
	for _, router := range f.routers {
		meanRate := perSecond * router.weight / weights
		var next func()
		next = func() {
			if f.elapsed() >= scenario.duration {
				return
			}
			f.newRequest(f.availableRouter(router))
			rate := meanRate
			if scenario.burstFactor > 0 && f.duringFault() {
				rate *= scenario.burstFactor
			}
			f.schedule(seconds(f.rng.ExpFloat64()/rate), next)
		}
		f.schedule(seconds(f.rng.ExpFloat64()/meanRate), next)
	}
}

// duringFault reports whether the time is between the fault and its end.
func (f fleetClients) duringFault() bool {
	return f.elapsed() > f.scenario.faultAt && f.elapsed() < f.scenario.faultAt+f.scenario.faultDuration
}

// newRequest sends a client's request of a random class.
func (f fleetClients) newRequest(router *fleetRouter) {
	draw, index := f.rng.Float64(), 0
	for i, class := range fleetClasses {
		if index = i; draw < class.share {
			break
		}
		draw -= class.share
	}
	class := fleetClasses[index]
	work := class.work * math.Exp(class.sigma*f.rng.NormFloat64()-class.sigma*class.sigma/2)
	f.sendRequest(router, &fleetRequest{class: index, work: work})
}

// sendRequest sends a client's request to a router.
func (f fleetClients) sendRequest(router *fleetRouter, req *fleetRequest) {
	class := router.config.Classes[req.class]
	f.lastRequest++
	req.id = RequestID(fmt.Sprint(f.lastRequest))
	if req.earlierTries == 0 {
		f.prepareFirstTry(class, req)
	}
	if req.deadline-f.now < 20*ms {
		return // the client has no time left for another try
	}
	router.open[req.id] = req
	estimate := req.work * math.Exp(0.3*f.rng.NormFloat64())
	f.handle(router, Arrival{
		Request: req.id, Class: class.Name, Estimate: seconds(estimate), TimeLeft: req.deadline - f.now,
		Resent: req.earlierTries > 0,
	})
	incarnation := router.incarnation
	f.schedule(req.deadline-f.now+50*ms, func() {
		if router.incarnation == incarnation && router.open[req.id] == req {
			f.t.Fatalf("no answer to a request at its client's deadline")
		}
	})
}

// firstTry sets the deadline and the objective of a request, and counts it as offered.
func (f fleetClients) prepareFirstTry(class Class, req *fleetRequest) {
	req.arrivedAt, req.deadline = f.now, f.now+time.Duration(0.8*float64(class.Deadline))
	if f.rng.Float64() < f.scenario.impatientShare && f.elapsed() > f.scenario.faultAt {
		req.deadline = f.now + time.Duration(0.3*f.rng.Float64()*float64(class.Deadline))
	}
	stretch := seconds(class.ObjectiveStretch * req.work / float64(max(class.Threads, 1)))
	req.objective = f.now + class.LatencyObjective + stretch
	stats := f.currentSecond()
	stats.offeredWeight += class.PriorityWeight
	stats.offeredByClass[req.class] += class.PriorityWeight
}

// endAttempt reports the end of an attempt to its router, unless that has restarted.
func (f *fleetSimulation) endAttempt(a *fleetAttempt, outcome Outcome) {
	f.schedule(ms, func() {
		router := a.router
		if router.incarnation != a.incarnation {
			return
		}
		last := false
		if req := router.open[a.id]; req != nil && outcome == Served {
			last = true
			f.recordAnswer(router.config.Classes[req.class], req)
			delete(router.open, a.id)
		}
		f.handle(router, AttemptEnd{
			Request: a.id, Attempt: a.index, Outcome: outcome, Last: last, Work: seconds(a.work),
		})
	})
}

// earn counts an answer: with its full weight until the objective, and a part of it until the deadline.
func (f *fleetSimulation) recordAnswer(class Class, req *fleetRequest) {
	weight := 0.0
	if f.now <= req.objective {
		weight = class.PriorityWeight
	} else if f.now <= req.deadline {
		weight = class.PriorityWeight * class.LateWeightShare
	}
	stats := f.secondAt(req.arrivedAt)
	stats.servedWeight += weight
	stats.servedByClass[req.class] += weight
}

// endWithoutResult ends a request that was rejected or failed; most clients send it again after a while.
func (f fleetClients) endWithoutResult(router *fleetRouter, id RequestID, retryAfter time.Duration) {
	req := router.open[id]
	if req == nil {
		f.t.Fatal("an answer for a request that is not open")
	}
	delete(router.open, id)
	if req.earlierTries >= fleetMaxSends-1 || f.rng.Float64() < 0.2 {
		return
	}
	delay := time.Duration((0.5 + f.rng.Float64()) * float64(300*ms) * float64(req.earlierTries+1))
	if retryAfter > 0 && f.rng.Float64() < 0.7 {
		delay = retryAfter
	}
	f.schedule(delay, func() { f.sendRequest(f.availableRouter(router), req.retry()) })
}

// availableRouter is where the clients of a router go: to itself, or to any that is up.
func (f fleetClients) availableRouter(router *fleetRouter) *fleetRouter {
	for router.down {
		router = f.routers[f.rng.IntN(len(f.routers))]
	}
	return router
}

// statements is the number of requests of clients, without retries.
func (f *fleetSimulation) offeredStatements() (n float64) {
	meanWeight := 0.0
	for i, class := range f.routers[0].config.Classes {
		meanWeight += class.PriorityWeight * fleetClasses[i].share
	}
	for _, stats := range f.statsBySecond {
		n += stats.offeredWeight / meanWeight
	}
	return n
}
