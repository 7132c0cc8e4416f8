package dispatch

// The gate: what the rules allow to be sent, sent again or refused is kept here and nowhere else.

import (
	"slices"
	"time"
)

const (
	// coldMargin is the part of the warm rate that a cold engine's slice is reckoned from, coldUse the part
	// of what it can do by now that is rationed.
	coldMargin, coldUse = 0.8, 0.95
	// grantRoom is granted over the corrected estimate: estimates scatter, and spilling costs most.
	grantRoom = 1.25
	// coldLate is the part of the time for which a cold engine's budget counts within which a query has to begin there.
	coldLate = 4
	// budgetLate is how late a further attempt may begin where these are bounded, at most.
	budgetLate = 400 * time.Millisecond
)

// ---- the gate: the rules are kept here and nowhere else

func (c *Controller) send(r *request, e *engine) {
	if !c.allowed(r, e) || c.keyBlocked(r) {
		return
	}
	c.unhold(r)
	a := &attempt{r: r, e: e, hop: len(r.attempts), at: c.now, heard: c.now, work: r.work(),
		grant: c.grant(r, e), mayRun: true, preferred: r.c == c.prefer}
	if a.hop > 0 {
		c.extras = append(c.extras, c.now)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	e.running = append(e.running, a)
	c.count(a, 1)
	e.zone.RecordAttempt(millis(c.now), zoneRests)
	c.due = min(c.due, c.dueOf(r))
	if e.lost >= downAfter {
		e.failAt = c.now // one try a rest, whenever it ends
		c.noteFailed(e)
	}
	if c.now < e.warmAt {
		e.spent = append(e.spent, spend{c.now, c.usual(r.c)})
	}
	terms := SetResources{Request: r.id, GrantMB: a.grant}
	if a.preferred {
		terms.Priority = 2
	}
	if c.cfg.Priorities || a.grant > 0 {
		c.emit(terms)
	}
	c.emit(StartAttempt{Request: r.id, Engine: e.ID, StartWithin: c.begin(r, e)})
}

// begin is the time within which an attempt that is sent now has to begin, 0 where it may at any time: what
// may run twice only within a window must not begin after it, and what is counted for a cold engine now must
// not meet there with what is counted later.
func (c *Controller) begin(r *request, e *engine) (within time.Duration) {
	if c.now < e.warmAt {
		within = c.cfg.WarmUpOverloadWindow / coldLate
	}
	if late := c.cfg.RetryBudget.late(); len(r.attempts) > 1 && late > 0 && (within == 0 || late < within) {
		within = late
	}
	if r.c.Semantics == Idempotent {
		return within
	}
	for _, a := range r.attempts[:len(r.attempts)-1] {
		if left := max(a.at+r.c.IdempotencyWindow-c.now, 1); a.mayRun && (within == 0 || left < within) {
			within = left
		}
	}
	return within
}

// wanted is the memory that a query needs: the estimate corrected by what spilled, 0 where nothing is known.
func (c *Controller) wanted(r *request) float64 {
	if !c.cfg.Grants || r.need <= 0 {
		return 0
	}
	g := r.need * r.c.grantFix * grantRoom
	if c.mostGrant > 0 {
		return min(g, c.mostGrant) // a wild estimate would wait for memory that no engine gives
	}
	return g
}

// grant is the memory to name: what is wanted, within what one query may have of that engine.
func (c *Controller) grant(r *request, e *engine) float64 {
	g := c.wanted(r)
	if most := e.memory * c.cfg.MaxGrantShare; most > 0 {
		return min(g, most)
	}
	return g
}

// allowed keeps drains, placement, attempts, key groups, the budget and cold engines.
func (c *Controller) allowed(r *request, e *engine) bool {
	switch {
	case r.done || !e.listed || c.now >= r.end:
		return false
	case len(r.c.Zones) > 0 && !slices.Contains(r.c.Zones, e.Zone):
		return false
	case len(r.c.Kinds) > 0 && !slices.Contains(r.c.Kinds, e.Kind):
		return false
	case r.out > 0 && !c.cfg.HedgingAllowed:
		return false
	case len(r.attempts) > 0 && (!c.budgetAllows() || !c.repeatAllowed(r, e)):
		return false
	case c.capReached(r):
		return false
	}
	return c.coldAllows(r, e)
}

func (c *Controller) capReached(r *request) bool {
	return c.cfg.MaxAttempts > 0 && len(r.attempts) >= c.cfg.MaxAttempts
}

func (c *Controller) mayRefuse(r *request) bool {
	for _, a := range r.attempts {
		if a.mayRun && r.c.Semantics != Idempotent &&
			(r.c.Semantics == AtMostOnce || r.c.IdempotencyScope != ScopeAll || c.now > a.at+r.c.IdempotencyWindow) {
			return false
		}
	}
	return true
}

// mayRepeat tells whether any engine could take a further attempt.
func (c *Controller) mayRepeat(r *request) bool {
	for _, a := range r.attempts {
		if a.mayRun {
			return c.repeatAllowed(r, a.e)
		}
	}
	return true
}

// again holds a request for a further attempt, or gives it up when none can be made.
func (c *Controller) again(r *request, o Outcome) {
	if c.now+c.cfg.Tick >= r.end || c.capReached(r) || o == NotSent || !c.mayRepeat(r) {
		c.giveUp(r)
		return
	}
	if r.errors >= errorsMost {
		c.finish(r)
		c.emit(FailRequest{Request: r.id}) // a refusal would have the client ask the same again
		return
	}
	c.hold(r, true)
}

// repeatAllowed keeps effects from happening twice.
func (c *Controller) repeatAllowed(r *request, e *engine) bool {
	if r.c.Semantics == Idempotent {
		return true
	}
	for _, a := range r.attempts {
		if !a.mayRun {
			continue
		}
		if r.c.Semantics == AtMostOnce || c.now >= a.at+r.c.IdempotencyWindow ||
			r.c.IdempotencyScope == ScopeZone && a.e.Zone != e.Zone || r.c.IdempotencyScope == ScopeCell && a.e.Cell != e.Cell {
			return false
		}
	}
	return true
}

func (c *Controller) keyBlocked(r *request) bool {
	if !r.ordered {
		return false
	}
	line := c.keys[r.key]
	return line == nil || line.line[0] != r || len(r.attempts) == 0 && c.now < line.rest
}

func (c *Controller) budgetAllows() bool {
	b := c.cfg.RetryBudget
	if b.Window <= 0 {
		c.extras = c.extras[:0]
		return true
	}
	late := b.late() // the budget is kept whenever within that time the attempt begins
	c.arrivals, c.extras = within(c.arrivals, c.now-b.Window+late), within(c.extras, c.now-b.Window-late-1)
	return float64(len(c.extras)+1) <= b.Free+b.PerRequest*float64(len(c.arrivals))
}

// late is the time within which a further attempt has to begin, where these are bounded.
func (b RetryBudget) late() time.Duration { return min(budgetLate, b.Window/4) }

// coldAllows keeps what all gateways send to a cold engine within what it can take: each has its slice, which
// sums over all of them to less, however unequal they are. In a large fleet, slices are rationed: they add up
// until they are worth a query of the largest class, to be spent on any within a window. What was due in two
// windows, and one query more, may meet in one.
func (c *Controller) coldAllows(r *request, e *engine) bool {
	if c.now >= e.warmAt || c.cfg.WarmUpOverloadFactor <= 0 {
		return true
	}
	window := c.cfg.WarmUpOverloadWindow
	since, most := c.now-window, c.coldRate()*e.cores*c.cfg.WarmUpInitialShare*c.cfg.WarmUpOverloadFactor*window.Seconds()
	if c.large() {
		c.tallied()
		most = c.largest()
		at, ok := c.rationed(e).Available(millis(c.now), millis(window))
		if !ok {
			return false
		}
		since, most = secs(at/1000), most*(1+1e-9)
	}
	sum := c.usual(r.c) + e.peer.WarmUpWork
	e.spent = slices.DeleteFunc(e.spent, func(s spend) bool { return s.at < c.now-window })
	for _, s := range e.spent {
		if s.at >= since {
			sum += s.work
		}
	}
	return sum <= most
}

// coldRate is the work a core a second that this gateway takes to be its part of a warm engine's.
func (c *Controller) coldRate() float64 {
	rate := 0.5 * 0.85 * c.share()
	if warm := c.warm(); warm.cores > 0 {
		rate = max(rate, coldMargin*c.done*c.fade(c.doneAt, rateLife)/rateLife.Seconds()/warm.cores)
	}
	return rate
}
