package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"time"
)

// connectTime is how long a query waits for its connection; one that has to begin sooner is marked as late.
func (f *fleetSimulation) connectTime(e *fleetEngine, x *fleetAttempt, begin time.Duration) time.Duration {
	if f.scenario.connectInterval == 0 || f.warmUpFactor(e) == 1 {
		return 0
	}
	wait := f.scenario.connectInterval - f.now%f.scenario.connectInterval
	if begin > 0 && wait > begin {
		x.startsTooLate = true
		return begin
	}
	return wait
}

// maxWarmingWork is what an engine at a share of its capacity may be sent in a window, in core seconds.
func (f *fleetSimulation) maxWarmingWork(share float64) float64 {
	return 2 * share * float64(f.scenario.cores) * 0.85 * fleetDiskFactor * 1.5
}

// meanFleetWork is the mean work of a query.
func meanFleetWork() (sum float64) {
	for _, k := range fleetClasses {
		sum += k.part * k.work
	}
	return sum
}

func (f *fleetSimulation) reachEngine(e *fleetEngine, x *fleetAttempt) {
	switch {
	case x.startsTooLate:
		f.endAttempt(x, ConnectFailed)
		return
	case e.silent, f.partitioned && f.isLost(e.Cell) != f.isLost(x.router.config.RouterIndex%f.scenario.zones):
		// Most find no connection, some wait in vain on one that they had; a load is not given up so soon.
		switch {
		case f.rng.Float64() < 0.3 && x.router.config.Classes[x.class].LocksTableGroup:
			f.schedule(2*time.Second, func() { f.endAttempt(x, TimedOut) })
		case f.rng.Float64() < 0.3:
			f.schedule(420*ms, func() { f.endAttempt(x, TimedOut) })
		default:
			f.schedule(400*ms, func() { f.endAttempt(x, ConnectFailed) })
		}
		return
	case e.dead:
		f.endAttempt(x, ConnectFailed)
		return
	}
	if share := f.warmUpFactor(e); share < 1 {
		w := fleetClasses[x.class].work
		e.received = append(e.received, sentWork{f.now, w})
		e.coldSent += w
		sum := 0.0
		for len(e.received) > 0 && e.received[0].at < f.now-1500*ms {
			e.received = e.received[1:]
		}
		for _, s := range e.received {
			sum += s.work
		}
		f.maxWarmingLoad = max(f.maxWarmingLoad, sum/f.maxWarmingWork(share))
		n := f.maxWarmingWork(share) / meanFleetWork()
		f.maxWarmingExcess = max(f.maxWarmingExcess, (sum/meanFleetWork()-n)/(2*math.Sqrt(n)+2))
		if sum > f.maxWarmingWork(share) && !e.collapsed {
			e.collapsed, e.dead = true, true
			f.collapsed++
			f.breakAttempts(e)
			f.endAttempt(x, ConnectionReset)
			return
		}
	}
	if len(e.running) >= fleetQueriesPerCore*f.scenario.cores {
		f.currentSecond().answeredFull++
		f.endAttempt(x, EngineFull)
		return
	}
	e.running = append(e.running, x)
}

func (f *fleetSimulation) breakAttempts(e *fleetEngine) {
	for _, x := range e.running {
		f.endAttempt(x, ConnectionReset)
	}
	e.running = nil
}

func (f *fleetSimulation) warmUpFactor(e *fleetEngine) float64 {
	if e.StartedAt == 0 || f.now > e.StartedAt+12*time.Second {
		return 1
	}
	return 0.36 + 0.64*(f.now-e.StartedAt).Seconds()/12
}

func (f *fleetSimulation) endAttempt(x *fleetAttempt, o Outcome) {
	f.schedule(ms, func() {
		r := x.router
		if r.incarnation != x.incarnation {
			return
		}
		last := false
		if q := r.open[x.id]; q != nil && o == Served {
			last = true
			k := r.config.Classes[q.class]
			gain := 0.0
			if f.now <= q.objective {
				gain = k.PriorityWeight
			} else if f.now <= q.deadline {
				gain = k.PriorityWeight * k.LateWeightShare
			}
			s := f.secondAt(q.arrivedAt)
			s.earned += gain
			s.earnedBy[q.class] += gain
			delete(r.open, x.id)
		}
		f.handle(r, AttemptEnd{Request: x.id, Attempt: x.index, Outcome: o, Last: last, Work: seconds(x.work)})
	})
}

// endWithoutResult is an answer that does not serve: the client may come again.
func (f *fleetSimulation) endWithoutResult(r *fleetRouter, id RequestID, after time.Duration) {
	q := r.open[id]
	if q == nil {
		f.t.Fatal("an answer for a request that is not open")
	}
	delete(r.open, id)
	if q.tries >= 2 || f.rng.Float64() < 0.2 {
		return
	}
	wait := time.Duration((0.5 + f.rng.Float64()) * float64(300*ms) * float64(q.tries+1))
	if after > 0 && f.rng.Float64() < 0.7 {
		wait = after
	}
	f.schedule(wait, func() {
		f.sendRequest(f.availableRouter(r), &fleetRequest{class: q.class, work: q.work, arrivedAt: q.arrivedAt, objective: q.objective, deadline: q.deadline, tries: q.tries + 1})
	})
}

func (f *fleetSimulation) sendRequest(r *fleetRouter, q *fleetRequest) {
	k := r.config.Classes[q.class]
	f.lastID++
	q.id = RequestID(fmt.Sprint(f.lastID))
	if q.tries == 0 {
		q.arrivedAt, q.deadline = f.now, f.now+time.Duration(0.8*float64(k.Deadline))
		if f.rng.Float64() < f.scenario.impatientShare && f.now > time.Hour+f.scenario.faultAt {
			q.deadline = f.now + time.Duration(0.3*f.rng.Float64()*float64(k.Deadline))
		}
		q.objective = f.now + k.LatencyObjective + seconds(k.ObjectiveStretch*q.work/float64(max(k.Threads, 1)))
		s := f.currentSecond()
		s.offered += k.PriorityWeight
		s.offeredBy[q.class] += k.PriorityWeight
	}
	if q.deadline-f.now < 20*ms {
		return // the client has no time left for another try
	}
	f.currentSecond().arrivals++
	r.open[q.id] = q
	est := q.work * math.Exp(0.3*f.rng.NormFloat64())
	f.handle(r, Arrival{Request: q.id, Class: k.Name, Estimate: seconds(est), TimeLeft: q.deadline - f.now, Resent: q.tries > 0})
	life := r.incarnation
	f.schedule(q.deadline-f.now+50*ms, func() {
		if r.incarnation == life && r.open[q.id] == q {
			f.t.Fatalf("no answer to a request at its client's end")
		}
	})
}

// runEngines moves every engine on by a tick.
func (f *fleetSimulation) runEngines() {
	dt := fleetTick.Seconds()
	for _, e := range f.engines {
		if e.dead || e.silent || len(e.running) == 0 {
			continue
		}
		pref, other := 0.0, 0.0
		for _, x := range e.running {
			if x.preferred {
				pref += x.threads
			} else {
				other += x.threads
			}
		}
		cores := float64(f.scenario.cores) * e.speed * f.warmUpFactor(e)
		room := cores * fleetDiskFactor
		if over := (pref + other) / (fleetThreadsPerCore * cores); over > 1 {
			room /= 1 + 2*(over-1) // threads in each other's way, and memory that is short
		}
		p := min(pref, room*8*pref/(8*pref+other))
		o := min(other, room-p)
		p = min(pref, room-o)
		left := e.running[:0]
		for _, x := range e.running {
			rate := 0.0
			if x.preferred {
				rate = p / pref * x.threads
			} else {
				rate = o / other * x.threads
			}
			x.workLeft -= rate * dt
			if x.workLeft > 0 {
				left = append(left, x)
				continue
			}
			f.endAttempt(x, Served)
		}
		clear(e.running[len(left):])
		e.running = left
	}
}

func (f *fleetSimulation) run() {
	d, sum := f.scenario, 0.0
	for _, r := range f.routers {
		sum += r.weight
	}
	mean := 0.0
	for _, k := range fleetClasses {
		mean += k.part * k.work
	}
	rate := d.load * float64(d.engines*d.cores) * fleetDiskFactor * 0.85 / mean
	for _, r := range f.routers {
		var next func()
		own := rate * r.weight / sum
		next = func() {
			if f.now < time.Hour+d.duration {
				f.newRequest(f.availableRouter(r))
				at := own
				if t := f.now - time.Hour; d.burstFactor > 0 && t > d.faultAt && t < d.faultAt+d.faultFor {
					at *= d.burstFactor
				}
				f.schedule(seconds(f.rng.ExpFloat64()/at), next)
			}
		}
		f.schedule(seconds(f.rng.ExpFloat64()/own), next)
	}
	f.scheduleFaults()
	for end := time.Hour + d.duration + 3*time.Second; f.now < end; {
		until := f.now + fleetTick
		for len(f.events) > 0 && f.events[0].at <= until {
			ev := heap.Pop(&f.events).(fleetEvent)
			f.now = max(f.now, ev.at)
			ev.do()
		}
		f.now = until
		f.runEngines()
	}
}

func (f *fleetSimulation) newRequest(r *fleetRouter) {
	u, class := f.rng.Float64(), 0
	for i, k := range fleetClasses {
		if class = i; u < k.part {
			break
		}
		u -= k.part
	}
	k := fleetClasses[class]
	f.sendRequest(r, &fleetRequest{class: class, work: k.work * math.Exp(k.spread*f.rng.NormFloat64()-k.spread*k.spread/2)})
}

func (f *fleetSimulation) scheduleFaults() {
	d := f.scenario
	for i := range f.engines {
		if f.rng.Float64() >= d.replacedShare {
			continue
		}
		f.schedule(d.faultAt+time.Duration(f.rng.Float64()*float64(d.faultFor)), func() { f.replaceEngine(i) })
	}
	for _, e := range f.engines {
		if !f.isLost(e.Cell) || !d.zoneLost || d.lostZones > 0 {
			continue
		}
		f.schedule(d.faultAt, func() { e.silent = true; e.running = nil })
		if d.listDelay > 0 {
			f.schedule(d.faultAt+d.listDelay, func() { e.State = Removed; f.announce(0, e.Endpoint) })
		}
		f.schedule(d.faultAt+d.faultFor, func() {
			e.silent, e.State, e.StartedAt = false, Live, f.now
			f.announce(300*ms, e.Endpoint)
		})
	}
	f.scheduleWideFaults()
	if d.partitioned {
		f.schedule(d.faultAt, func() { f.partitioned = true })
		f.schedule(d.faultAt+d.faultFor, func() { f.partitioned = false })
	}
	for _, r := range f.routers {
		if f.rng.Float64() >= d.restartedShare {
			continue
		}
		f.schedule(d.faultAt, func() {
			f.startRouter(r)
		})
	}
}

// served is the share of the worth that was asked for from one second on to another.
func (f *fleetSimulation) served(from, to int) float64 {
	asked, gained := 0.0, 0.0
	for _, s := range f.seconds[from:min(to, len(f.seconds))] {
		asked, gained = asked+s.offered, gained+s.earned
	}
	return gained / max(asked, 1)
}
