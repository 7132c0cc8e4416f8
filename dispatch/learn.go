package dispatch

// What lists, outcomes and notes tell of engines and classes, and what follows for attempts that are out.

import "time"

const (
	// slowGain is the weight of one observation in an engine's slowdown: about ten decide.
	slowGain = 0.1
	// meanGain is the weight of one observation in a class's mean over all engines.
	meanGain = 0.03
	// evidenceLife is the time in which evidence on an engine fades by 1/e when nothing renews it.
	evidenceLife = 5 * time.Second
	// failGain is the weight of an answer, or of an attempt that fell silent, in an engine's failing share;
	// two of the latter in a row eject.
	failGain = 0.3
	// breakGain is that of an error or a lost connection: six in a row eject, as fewer are chance where the
	// network resets one connection in ten.
	breakGain = 0.1
	// downAfter is how many attempts in a row must meet no connection, or lose it, for an engine to count as
	// down: it is tried once a rest, and cold when it answers again.
	downAfter = 5
	// ejectAt is the failing share from which an engine gets one query at a time.
	ejectAt = 0.45
	// ejectMost is the share of engines that may be ejected: past it, the rest would drown.
	ejectMost = 0.5
	// failWeight scales an engine's work by its failing share over the breaks of all, so that failing fast
	// never looks idle.
	failWeight = 20.0
	// errorsMost is how many engines may answer an error before the request is taken to be at fault: usual
	// ones err in a few of a thousand answers, and each further error would speak against one more engine.
	errorsMost = 2
	// badPlan is how many times slower than expected an attempt must be to count as a bad plan.
	badPlan = 4.0
	// rateLife is the time over which work done by warm engines is averaged.
	rateLife = 10 * time.Second
	// shareLife is the time over which own traffic is averaged: longer than bursts, shorter than a shift.
	shareLife = 30 * time.Second
	// noteSlack is how many note periods without a word make an attempt lost; notes come also from the
	// engine's line.
	noteSlack = 1.6
	// overdue is the multiple of the expected time that says so where engines send no notes.
	overdue = 6.0
)

// ---- outcomes

func (c *Controller) onEnd(ev AttemptEnd) {
	a := c.attempt(ev.Request, ev.Attempt)
	if a == nil {
		return
	}
	r, e := a.r, a.e
	a.ended = true
	r.out--
	e.running = without(e.running, a)
	c.count(a, -1)
	a.mayRun = ev.Outcome != EngineFull && ev.Outcome != ConnectFailed && ev.Outcome != NotSent // no proof
	if r.ordered && (ev.Outcome == TimedOut || ev.Outcome == ConnectionReset || ev.Outcome == Cancelled) {
		c.keys[r.key].rest = max(c.keys[r.key].rest, c.now+c.cfg.KeyCooldown)
	}
	c.learn(a, ev)
	switch {
	case ev.Last || ev.Outcome == Served:
		c.finish(r)
	case !r.done && r.out == 0:
		c.again(r, ev.Outcome)
	}
	c.settle(r)
	c.release()
}

// learn takes what an outcome tells of an engine and of its class.
func (c *Controller) learn(a *attempt, ev AttemptEnd) {
	e, r := a.e, a.r
	if ev.Report != nil {
		c.heard(e, *ev.Report)
	}
	c.strike(a, ev.Outcome)
	switch ev.Outcome {
	case Served:
		c.blame(e, 0, failGain)
		c.breaks(0)
		e.owed = false
		if e.lost >= downAfter {
			c.chill(e, c.now)
		}
		e.lost = 0
		c.observe(a)
		if c.now >= e.warmAt {
			c.done = c.done*c.fade(c.doneAt, rateLife) + c.usual(r.c)
			c.doneAt = c.now
		}
		if r.need > 0 && ev.NeedMB > 0 {
			r.c.grantFix += meanGain * (ev.NeedMB/r.need - r.c.grantFix)
		} else if r.need > 0 && !a.spillSeen && a.grant > 0 && c.cfg.ProgressInterval > 0 {
			// Only where notes would tell of spilling does their absence say that less would do.
			r.c.grantFix = max(r.c.grantFix*0.995, 0.3)
		}
	case EngineFailed:
		r.errors++
		c.blame(e, 1, breakGain)
		c.breaks(1)
		e.lost = 0
	case ConnectFailed, ConnectionReset:
		c.blame(e, 1, breakGain)
		c.breaks(1)
		e.lost++
	case EngineFull:
		e.fullAt, e.lost = c.now, 0
	case TimedOut:
		if !a.blamed && c.now-a.at > 2*c.expected(r) {
			c.observe(a)
		}
	}
}

// blame moves an engine's failing share towards 1 for a failure, 0 for an answer.
func (c *Controller) blame(e *engine, fail, gain float64) {
	e.fail, e.failAt = c.failing(e)*(1-gain)+gain*fail, c.now
	c.noteFailed(e)
}

// lost tells whether an attempt has been silent for too long. It guards against cut links, stuck engines
// and answers that never come; it might hurt when notes are delayed, so it pauses after own pauses.
func (c *Controller) lost(a *attempt) bool {
	return !a.ended && !a.blamed && !a.streaming && c.now > c.silentAt(a)
}

// silentAt is when an attempt of which nothing more is heard counts as lost.
func (c *Controller) silentAt(a *attempt) time.Duration {
	limit := secs(overdue * c.expected(a.r).Seconds() * c.slowness(a.e))
	if c.cfg.ProgressInterval > 0 {
		limit = secs(noteSlack * c.cfg.ProgressInterval.Seconds())
	}
	return max(a.heard, c.pausedAt) + limit
}

// observe compares an attempt's time with what the class usually takes.
func (c *Controller) observe(a *attempt) {
	e, r := a.e, a.r
	x := max((c.now-a.at).Seconds(), 1e-6) * float64(r.c.Threads) / r.est // the means are divided by
	ratio := min(max(x/r.c.mean, 0.05), 20)
	e.slow = c.slowness(e) + slowGain*(ratio-c.slowness(e))
	e.slowAt = c.now
	gain := meanGain
	if r.c.seen < 30 {
		r.c.seen++
		gain = max(gain, 1/r.c.seen)
	}
	r.c.mean, r.c.seenAt = c.meanNow(r.c), c.now
	r.c.mean += gain * (min(x, 20*r.c.mean) - r.c.mean)
	r.c.pace += gain * (min(x, jamMost*r.c.best) - r.c.pace)
	if r.c.seen < 8 || r.c.seen < 30 && !c.large() || r.c.mean < r.c.best {
		r.c.best = r.c.mean
	}
	crowd := c.crowd * c.fade(c.crowdAt, evidenceLife)
	c.crowd, c.crowdAt = crowd+crowdGain*(min(x/r.c.best, jamMost)-1-crowd), c.now
}

func (c *Controller) onNote(ev AttemptProgress) {
	a := c.attempt(ev.Request, ev.Attempt)
	if a == nil {
		return
	}
	r, took := a.r, (c.now - a.at).Seconds()
	a.heard = c.now
	switch ev.Kind {
	case ProgressSpilling:
		if !a.spillSeen && a.grant > 0 && r.need > 0 && ev.Amount > 0 {
			r.c.grantFix += 0.05 * ((a.grant+ev.Amount)/r.need - r.c.grantFix)
		}
		a.spillSeen = true
	case ProgressBlocked:
		if now := millis(c.now); ev.Amount == 2 {
			a.e.press.LockObserved(r.group, now, now+1000*c.usual(r.c)/float64(r.c.Threads))
		}
	case ProgressFraction:
		total := took / max(ev.Amount, 0.01)
		expected := c.expected(r).Seconds() * c.slowness(a.e)
		if r.estimated && total > badPlan*expected && total-took > 2*expected {
			c.rescue(a)
		}
	}
}

// rescue stops an attempt that will take far too long and runs the query elsewhere. It guards against
// bad plans, stuck engines and lost answers; it hurts when the estimate, not the run, was wrong.
func (c *Controller) rescue(a *attempt) {
	r := a.r
	if r.done || a.cancelled || a.streaming || c.now+c.expected(r) > r.end || !c.cfg.CancelAllowed ||
		r.c.Semantics == AtMostOnce || c.capReached(r) || !c.budgetAllows() {
		return
	}
	a.cancelled = true
	c.emit(CancelAttempt{Request: r.id, Attempt: a.hop})
}

// gone ends a request whose client has left, and cancels what still runs of it where that is allowed.
func (c *Controller) gone(r *request) {
	for _, a := range r.attempts {
		if c.cfg.CancelAllowed && !a.ended && !a.cancelled {
			a.cancelled = true
			c.emit(CancelAttempt{Request: r.id, Attempt: a.hop})
		}
	}
	c.finish(r)
}
