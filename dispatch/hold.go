package dispatch

// What waits and what goes: requests wait in first-come queues, one a class, and ratio release picks among them
// (LaPadula's delay-ratio control, Segal, ITC 9). What can't be over in time is given up at once.

import (
	"math"
	"slices"
	"time"
)

const (
	// ratioCap is the paper's Rmax; its field experiment used 7:1.
	ratioCap = 7.0
	// quotaSlack is how far a tenant may pass its share here: gateways see uneven parts of each tenant.
	quotaSlack = 1.2
	// asideAt is the multiple of the expected time past which a held query stands aside: what is sent too
	// late earns little and slows those in time.
	asideAt = 2.0
	// heavy is the work against the class's mean from which a held query stands aside: in a shortage, its
	// worth would cost several others theirs.
	heavy = 2.0
	// housekeeping is the time in which held requests are looked at twice.
	housekeeping = 20 * time.Millisecond
	// estMost bounds an estimate against its class's mean, both ways: a wild one would outweigh a day of others.
	estMost = 100.0
)

// ---- requests

func (c *Controller) onArrival(ev Arrival) {
	c.arrivals = append(within(c.arrivals, c.now-c.cfg.RetryBudget.Window), c.now)
	c.rate, c.rateAt = c.rate*c.fade(c.rateAt, shareLife)+1/shareLife.Seconds(), c.now
	cl := c.classes[0]
	for _, k := range c.classes {
		if k.Name == ev.Class {
			cl = k
		}
	}
	r := &request{id: ev.Request, c: cl, group: ev.TableGroup, key: ev.Key, at: c.now, end: c.now + ev.TimeLeft,
		need: ev.NeedMB, est: cl.estMean, tenant: c.tenants[ev.Tenant]}
	if !(r.need > 0) || math.IsInf(r.need, 1) {
		r.need = 0 // not known
	}
	if ev.Estimate > 0 {
		r.est, r.estimated = ev.Estimate.Seconds(), true
		if cl.seen == 0 {
			most := cl.LatencyObjective.Seconds() * float64(cl.Threads)
			cl.estMean = min(max(r.est, most/estMost), most)
			cl.mean, cl.pace, cl.best, cl.seen = 1, 1, 1, 1
		}
		r.est = min(max(r.est, cl.estMean/estMost), estMost*cl.estMean)
		cl.estMean += meanGain * (r.est - cl.estMean)
	}
	r.aim = min(c.now+cl.LatencyObjective+secs(cl.ObjectiveStretch*r.est*cl.best/float64(cl.Threads)), r.end)
	r.over, r.ordered = c.overShare(r), cl.OrderByKey && ev.Key != ""
	c.requests[r.id] = r
	c.open = append(c.open, r)
	c.demand.Add(r.group, r.demand(cl.LocksTableGroup), r.demand(cl.BlockedByLoad)*float64(cl.Threads), millis(c.now))
	if r.ordered {
		line := c.keys[r.key]
		if line == nil {
			line = &keyLine{}
			c.keys[r.key] = line
		}
		line.line = append(line.line, r)
	}
	if c.vain(r) {
		c.giveUp(r)
		return
	}
	if len(cl.queue) == 0 { // else the newcomer would pass those that wait
		if e := c.pick(r); e != nil {
			c.send(r, e)
			return
		}
	}
	c.hold(r, false)
	if c.now+c.margin() >= r.end || r.aside && c.held > c.mostHeld {
		c.giveUp(r)
	}
	c.release()
}

// vain tells whether a query that has just come is not worth sending: it came too late or, in a large fleet,
// would be over too late. Engines run on with what nobody asks for any more: over all gateways that adds up.
func (c *Controller) vain(r *request) bool {
	over := c.now + secs(c.meanNow(r.c)*min(r.est, heavy*r.c.estMean)/float64(r.c.Threads))
	lately := c.now-r.c.seenAt < 2*evidenceLife // else a class that was priced out would never be tried again
	return c.now >= r.end || c.large() && lately && (over >= r.end || r.c.LateWeightShare == 0 && over > r.aim)
}

// overShare tells whether a tenant is past its share of what this gateway usually takes.
func (c *Controller) overShare(r *request) bool {
	if r.tenant == nil || r.tenant.quota <= 0 {
		return false
	}
	return !r.tenant.bucket.Take(r.tenant.quota*c.traffic()*quotaSlack, millis(c.now))
}

// hold queues a request: in turn, or in front when an attempt of it came back.
func (c *Controller) hold(r *request, front bool) {
	c.held++
	r.held, r.aside = true, r.over || c.hopeless(r) || r.est > heavy*r.c.estMean
	q := r.line()
	if front {
		*q = slices.Insert(*q, 0, r)
	} else {
		*q = append(*q, r)
	}
}

// meanNow is a class's mean time, fading to the best seen when none of it is answered: a class that a jam
// priced out is tried again instead of being set aside for good.
func (c *Controller) meanNow(cl *class) float64 {
	return cl.best + (cl.mean-cl.best)*c.fade(cl.seenAt, evidenceLife)
}

// hopeless tells whether a query sent now would miss its aim.
func (c *Controller) hopeless(r *request) bool {
	return c.now+secs(asideAt*c.expected(r).Seconds()) > r.aim
}

// giveUp answers a request at once: refused where a retry is harmless, else failed.
func (c *Controller) giveUp(r *request) {
	c.finish(r)
	if !c.mayRefuse(r) {
		c.emit(FailRequest{Request: r.id})
		return
	}
	after := time.Duration(0)
	if c.cfg.RetryAfterAllowed {
		after = min(r.c.LatencyObjective, c.cfg.MaxRetryAfter)
	}
	c.emit(Reject{Request: r.id, RetryAfter: after})
}

// ---- time

func (c *Controller) onTimer(ev TimerFired) {
	if ev.Tag != tickTag || c.now+c.cfg.Tick < c.wakeAt {
		return // set before an earlier one; hosts may round a time down, so a tick early is in time
	}
	if c.now-c.wakeAt > 5*housekeeping {
		c.pausedAt = c.now
	}
	c.wakeAt, c.due = math.MaxInt64, math.MaxInt64
	if c.cfg.PolledDiscovery && c.now >= c.askAt {
		c.subscribe()
	}
	open := c.open[:0]
	for _, r := range c.open {
		c.sweep(r)
		if !r.done {
			open = append(open, r)
			c.due = min(c.due, c.dueOf(r))
		}
	}
	clear(c.open[len(open):])
	c.open = open
	c.release()
}

// sweep looks at one open request: ends it in time, or moves it behind those that can still meet their aim.
func (c *Controller) sweep(r *request) {
	if r.done {
		return
	}
	for _, a := range r.attempts {
		if c.lost(a) {
			a.blamed = true
			c.blame(a.e, 1, failGain)
			c.rescue(a)
		}
	}
	switch {
	case r.held && (c.now+c.margin() >= r.end || !c.mayRepeat(r) ||
		c.hopeless(r) && (r.c.LateWeightShare == 0 || c.held > c.mostHeld)):
		c.giveUp(r)
	case r.held && c.hopeless(r) && !r.aside:
		c.unhold(r)
		c.hold(r, false)
	case r.out == 0 && !r.held || c.now >= r.end:
		c.finish(r)
		c.emit(FailRequest{Request: r.id})
	}
}

// release sends held queries by the ratio rule for as long as an engine has room for one.
func (c *Controller) release() {
	blocked := map[*class]bool{}
	for q := c.next(blocked); q != nil; q = c.next(blocked) {
		if !c.releaseFrom(q.queue) {
			blocked[q], c.credit = true, 0
		}
	}
}

// releaseFrom sends the first query of a queue that may go.
func (c *Controller) releaseFrom(queue []*request) bool {
	tries := 0
	for _, r := range queue {
		if c.keyBlocked(r) {
			continue
		}
		if e := c.least(r); e != nil {
			c.send(r, e)
			return true
		}
		if tries++; tries >= 3 {
			return false
		}
	}
	return false
}

// next picks the queue to release from. With q1 preferred and q2 other queries held: when q1 R >= q2,
// ceil(q1 R/q2) preferred for each other one, else ceil(q2/(q1 R)) others for each preferred, at most
// Rmax; one empty queue leaves all to the other.
func (c *Controller) next(blocked map[*class]bool) *class {
	q1, q2, weighted := 0.0, 0.0, 0.0
	for _, k := range c.classes {
		n := float64(len(k.queue))
		switch {
		case blocked[k]:
		case k == c.prefer:
			q1 = n
		default:
			q2, weighted = q2+n, weighted+n*k.ratio
		}
	}
	switch {
	case q1+q2 == 0:
		return c.nextLate(blocked)
	case q2 == 0:
		return c.prefer
	case q1 == 0:
		return c.other(blocked)
	}
	if c.credit <= 0 {
		many, preferMany := ratioRule(q1, q2, weighted/q2)
		c.credit, c.creditTo = many+1, preferMany
	}
	c.credit--
	if (c.credit > 0) == c.creditTo {
		return c.prefer
	}
	return c.other(blocked)
}

// ratioRule gives how many of one side go for each of the other, and whether the many are preferred ones.
func ratioRule(q1, q2, ratio float64) (many int, preferred bool) {
	if q1*ratio >= q2 {
		return int(min(math.Ceil(q1*ratio/q2), ratioCap)), true
	}
	return int(min(math.Ceil(q2/(q1*ratio)), ratioCap)), false
}

// other is the class, not preferred, whose first query waited longest against its aim.
func (c *Controller) other(blocked map[*class]bool) *class {
	var best *class
	worst := -1.0
	for _, k := range c.classes {
		if k == c.prefer || blocked[k] || len(k.queue) == 0 {
			continue
		}
		head := k.queue[0]
		if w := (c.now - head.at).Seconds() / (head.aim - head.at).Seconds(); w > worst {
			best, worst = k, w
		}
	}
	return best
}

// nextLate sends those set aside when nothing else is held.
func (c *Controller) nextLate(blocked map[*class]bool) *class {
	for _, k := range c.classes {
		if len(k.late) > 0 && !blocked[k] && len(k.queue) == 0 {
			for c.releaseFrom(k.late) {
			}
			blocked[k] = true
		}
	}
	return nil
}
