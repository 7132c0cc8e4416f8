package dispatch

import (
	"fmt"
	"math"
	"time"
)

// fleetMaxSends is the maximum number of times that a client sends a request.
const fleetMaxSends = 3

// fleetRequest is a client's request to one router. The client may send it again, as a new fleetRequest, if it gets no
// result.
type fleetRequest struct {
	id           RequestID
	class        int
	work         float64       // in core seconds
	arrivedAt    time.Duration // arrival of the first try
	objective    time.Duration
	deadline     time.Duration
	earlierTries int // number of earlier times that the client sent it
	attempts     int
	preferred    bool
}

// retry returns the request for the next time that the client sends it.
func (r *fleetRequest) retry() *fleetRequest {
	return &fleetRequest{
		class: r.class, work: r.work, arrivedAt: r.arrivedAt, objective: r.objective, deadline: r.deadline,
		earlierTries: r.earlierTries + 1,
	}
}

// fleetClients simulates the clients of the fleet.
type fleetClients struct{ *fleetSimulation }

// scheduleTraffic schedules the requests of the clients of all routers. The times between requests are distributed
// exponentially.
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

// duringFault reports whether the fault is present at the current time.
func (f fleetClients) duringFault() bool {
	return f.elapsed() > f.scenario.faultAt && f.elapsed() < f.scenario.faultAt+f.scenario.faultDuration
}

// newRequest sends a router a request of a random class with random work.
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

// sendRequest sends a request to a router unless its deadline is less than 20 ms away. The test fails if the request
// has no answer 50 ms after its deadline.
func (f fleetClients) sendRequest(router *fleetRouter, req *fleetRequest) {
	class := router.config.Classes[req.class]
	f.lastRequest++
	req.id = RequestID(fmt.Sprint(f.lastRequest))
	if req.earlierTries == 0 {
		f.prepareFirstTry(class, req)
	}
	if req.deadline-f.now < 20*ms {
		return // too little time is left
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
			f.t.Fatalf("request %s has no answer 50 ms after its deadline", req.id)
		}
	})
}

// prepareFirstTry sets the deadline and the latency objective of a new request and adds its priority weight to the
// offered weight.
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

// endAttempt reports the end of an attempt to its router 1 ms later, unless the router has restarted by then.
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

// recordAnswer adds the priority weight of an answered request to the served weight: all of it until the latency
// objective, the LateWeightShare of the class until the deadline, and nothing later.
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

// endWithoutResult ends a request that was rejected or failed. Four of five clients send it again after a delay, up to
// fleetMaxSends times in total; 70% of these observe retryAfter if it is set.
func (f fleetClients) endWithoutResult(router *fleetRouter, id RequestID, retryAfter time.Duration) {
	req := router.open[id]
	if req == nil {
		f.t.Fatalf("router %d answered request %s, which is not open", router.config.RouterIndex, id)
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

// availableRouter returns the given router if it is up, else a random router that is up.
func (f fleetClients) availableRouter(router *fleetRouter) *fleetRouter {
	for router.down {
		router = f.routers[f.rng.IntN(len(f.routers))]
	}
	return router
}

// offeredStatements estimates the number of client requests, not counting retries, from the offered priority weight.
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
