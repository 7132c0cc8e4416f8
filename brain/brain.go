package brain

// The interface (settings, events, actions) is in api.go; what is remembered is in state.go. Every decision
// is in this file. Ordinary path: LaPadula's delay-ratio control (Segal, ITC 9). Requests wait in
// first-come queues, one a class; ratio release picks among them; two random engines are compared.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"windflow/internal/decide/ration"
)

const (
	// ratioCap is the paper's Rmax; its field experiment used 7:1.
	ratioCap = 7.0
	// threadsPerCore is the bound on running threads a core: cores and disks overlap up to about there, and
	// preferred queries run beside it. In a jam it goes down to jamThreads: preferred ones then take jamFrom
	// to jamFull times their least. Each counts jamMost times that at most: a few stood still for a load.
	threadsPerCore, jamThreads = 2.0, 1.2
	jamFrom, jamFull, jamMost  = 1.2, 2.2, 4.0
	// calmAt is the reported share of cores, disks and memory in use below which an engine counts as calm.
	calmAt = 0.8
	// calmRoom is how far the bound gives way on a calm engine; reports lag, so it never opens wholly.
	calmRoom = 2.0
	// preferredRoom is how far preferred queries may pass that bound: they are short and go first.
	preferredRoom = 2.0
	// slowGain is the weight of one observation in an engine's slowdown: about ten decide.
	slowGain = 0.1
	// meanGain is the weight of one observation in a class's mean over all engines.
	meanGain = 0.03
	// looseThreads is the bound in a large fleet that is not crowded: parts are small there, and uneven. It
	// goes down as answers of all classes, each of weight crowdGain, take longer than the least seen.
	looseThreads, crowdGain, crowdFrom, crowdFull = 3.0, 0.1, 0.1, 0.5
	// evidenceLife is the time in which evidence on an engine fades by 1/e when nothing renews it.
	evidenceLife = 5 * time.Second
	// fullRest is how long an engine that turned a query away gets none: sessions end about that often. An
	// ejected one rests twice as long: in overload it alone has room, and would draw all held.
	fullRest = 250 * time.Millisecond
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
	// estMost bounds what one estimate weighs in a class's mean: a wild one would outweigh a day of others.
	estMost = 100.0
	// badPlan is how many times slower than expected an attempt must be to count as a bad plan.
	badPlan = 4.0
	// coldMargin is the part of the warm rate that a cold engine's slice is reckoned from, coldUse the part
	// of what it can do by now that is rationed.
	coldMargin, coldUse = 0.8, 0.9
	// rateLife is the time over which work done by warm engines is averaged.
	rateLife = 10 * time.Second
	// shareLife is the time over which own traffic is averaged: longer than bursts, shorter than a shift.
	shareLife = 30 * time.Second
	// slowMost bounds how far the bound on an engine shrinks with its slowness: another program may have most
	// of its cores.
	slowMost = 3.0
	// quotaSlack is how far a tenant may pass its share here: gateways see uneven parts of each tenant.
	quotaSlack = 1.2
	// noteSlack is how many note periods without a word make an attempt lost; notes come also from the
	// engine's line.
	noteSlack = 1.6
	// overdue is the multiple of the expected time that says so where engines send no notes.
	overdue = 6.0
	// asideAt is the multiple of the expected time past which a held query stands aside: what is sent too
	// late earns little and slows those in time.
	asideAt = 2.0
	// heavy is the work against the class's mean from which a held query stands aside: in a shortage, its
	// worth would cost several others theirs.
	heavy = 2.0
	// grantRoom is granted over the corrected estimate: estimates scatter, and spilling costs most.
	grantRoom = 1.25
	// nearLeast is how many engines a gateway uses at least, to lose some of them; nearFew in a large fleet.
	nearLeast, nearFew = 8, 3
	// homePart and loadPart are the shares of the engines that read a table group and that load it: readers
	// find it warm there, and loads, which make readers of the group stand still, run on others.
	homePart, loadPart, homesFrom = 0.5, 0.5, 5
	// homesMost bounds the table groups whose engines are remembered: statements may name any number.
	homesMost = 1024
	// draws is how many engines are drawn for two with room, and looked at when held queries are sent.
	draws = 8
	// housekeeping is the time in which held requests are looked at twice.
	housekeeping = 20 * time.Millisecond
	tickTag      = 1
)

// arm sets a timer for the next thing due, unless an earlier one is set: held queries look for room often,
// for the rest only silence and the client's end matter.
func (c *Controller) arm() {
	due := c.due
	if c.held > 0 {
		due = min(due, c.now+housekeeping/2)
	}
	if c.cfg.AskedDiscovery {
		due = min(due, c.askAt)
	}
	if at := max(due, c.now+c.cfg.Tick, c.now+1); at < c.wakeAt {
		c.wakeAt = at
		c.emit(SetTimer{Tag: tickTag, After: c.wakeAt - c.now})
	}
}

// ---- the list of engines

func (c *Controller) subscribe() {
	if c.cfg.AskedDiscovery {
		c.emit(Subscribe{})
		c.askAt = math.MaxInt64
	}
}

func (c *Controller) onList(ev EngineList) {
	if ev.Mode == ListFailed {
		// Back off with jitter, so that gateways which failed together don't call together again.
		c.askWait = min(max(2*c.askWait, 250*time.Millisecond), max(c.cfg.AskWithin/4, 500*time.Millisecond))
		c.askAt = c.now + c.askWait/2 + time.Duration(c.rng.Float64()*float64(c.askWait))
		return
	}
	if ev.Mode != ListSaved {
		c.askWait = 0
	}
	if ev.Mode != ListChanges {
		for _, e := range c.engines {
			e.listed, e.State = false, Gone
		}
	}
	first := len(c.engines) == 0
	for _, entry := range ev.Engines {
		c.onEntry(entry, first)
	}
	c.relist()
	c.release()
}

func (c *Controller) onEntry(entry Engine, first bool) {
	e := c.byID[entry.ID]
	if e == nil {
		e = &engine{Engine: entry, cores: max(entry.Size, 1), loadUntil: map[int64]time.Duration{}, slow: 1}
		c.equip(e)
		c.byID[entry.ID] = e
		c.engines = append(c.engines, e)
		if entry.Born == 0 && !first {
			c.chill(e, c.now)
		}
	}
	if entry.Born > 0 && (entry.Born != e.Born || e.warmAt == 0) && entry.Born+c.cfg.ColdFor > c.now {
		c.chill(e, entry.Born)
	}
	e.Engine = entry
	c.ids.named(entry.ID)
	e.listed = entry.State == Live && !c.Excluded(entry.ID)
}

// exclude keeps work from an engine, or ends that: it has started anew by then, and is owed a first query.
func (c *Controller) exclude(id EngineID, on bool) {
	if !c.Knows(id) || c.Excluded(id) == on {
		return
	}
	c.ids.excluded[id] = on
	if e := c.byID[id]; e != nil {
		e.listed, e.owed = e.State == Live && !on, !on
		c.chill(e, c.now)
		e.lost, e.fullAt = 0, 0
		c.relist()
		c.release()
	}
}

// chill treats an engine as just started: its history is void.
func (c *Controller) chill(e *engine, at time.Duration) {
	e.coldAt, e.warmAt = at, max(e.warmAt, at+c.cfg.ColdFor)
	e.slow, e.fail = 1, 0
	e.rest.Answer()
	e.ration = ration.Start(c.cfg.Instance, c.cfg.Gateways, float64(mix(1, e.ID)>>11)/(1<<53), millis(at))
}

// ---- requests

func (c *Controller) onArrival(ev Arrival) {
	c.arrivals = append(within(c.arrivals, c.now-c.cfg.Budget.Window), c.now)
	c.rate, c.rateAt = c.rate*c.fade(c.rateAt, shareLife)+1/shareLife.Seconds(), c.now
	cl := c.classes[0]
	for _, k := range c.classes {
		if k.Name == ev.Class {
			cl = k
		}
	}
	r := &request{id: ev.Request, c: cl, group: ev.Group, key: ev.Key, at: c.now, end: c.now + ev.TimeLeft,
		need: ev.NeedMB, est: 1, tenant: c.tenants[ev.Tenant]}
	if ev.Estimate > 0 {
		r.est, r.estimated = ev.Estimate.Seconds(), true
		if cl.seen == 0 {
			cl.estMean = min(r.est, cl.Aim.Seconds()*float64(cl.Threads))
			cl.mean, cl.pace, cl.best, cl.seen = 1, 1, 1, 1
		}
		cl.estMean += meanGain * (min(r.est, estMost*cl.estMean) - cl.estMean)
	}
	r.aim = min(c.now+cl.Aim+secs(cl.AimStretch*r.est*cl.best/float64(cl.Threads)), r.end)
	r.over, r.ordered = c.overShare(r), cl.OrderByKey && ev.Key != ""
	c.requests[r.id] = r
	c.open = append(c.open, r)
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
	return c.now >= r.end || c.large() && (over >= r.end || r.c.LateWorth == 0 && over > r.aim)
}

// overShare tells whether a tenant is past its share of what this gateway usually takes.
func (c *Controller) overShare(r *request) bool {
	if r.tenant == nil || r.tenant.quota <= 0 {
		return false
	}
	rate := r.tenant.quota * c.traffic() * quotaSlack
	t := r.tenant
	if t.at == 0 {
		t.at, t.tokens = c.now, 2*rate+5
	}
	t.tokens = min(t.tokens+rate*(c.now-t.at).Seconds(), 2*rate+5)
	t.at = c.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
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
		c.emit(Fail{Request: r.id})
		return
	}
	after := time.Duration(0)
	if c.cfg.RetryAfter {
		after = min(r.c.Aim, c.cfg.MaxRetryAfter)
	}
	c.emit(Refuse{Request: r.id, RetryAfter: after})
}

func (c *Controller) mayRefuse(r *request) bool {
	for _, a := range r.attempts {
		if a.mayRun && r.c.Semantics != Idempotent &&
			(r.c.Semantics == AtMostOnce || r.c.Scope != ScopeAll || c.now > a.at+r.c.Window) {
			return false
		}
	}
	return true
}

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
	a.mayRun = ev.Outcome != Full && ev.Outcome != ConnectFailed && ev.Outcome != NotSent // no proof
	if r.ordered && (ev.Outcome == TimedOut || ev.Outcome == Reset || ev.Outcome == Cancelled) {
		c.keys[r.key].rest = max(c.keys[r.key].rest, c.now+c.cfg.KeyRest)
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

// again holds a request for a further attempt, or gives it up when none can be made.
func (c *Controller) again(r *request, o Outcome) {
	if c.now+c.cfg.Tick >= r.end || c.capReached(r) || o == NotSent || !c.mayRepeat(r) {
		c.giveUp(r)
		return
	}
	if r.errors >= errorsMost {
		c.finish(r)
		c.emit(Fail{Request: r.id}) // a refusal would have the client ask the same again
		return
	}
	c.hold(r, true)
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

// learn takes what an outcome tells of an engine and of its class.
func (c *Controller) learn(a *attempt, ev AttemptEnd) {
	e, r := a.e, a.r
	if ev.Load != nil {
		e.report, e.reportAt = *ev.Load, c.now
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
		} else if r.need > 0 && !a.spillSeen && a.grant > 0 && c.cfg.NoteEvery > 0 {
			// Only where notes would tell of spilling does their absence say that less would do.
			r.c.grantFix = max(r.c.grantFix*0.995, 0.3)
		}
	case Errored:
		r.errors++
		c.blame(e, 1, breakGain)
		c.breaks(1)
		e.lost = 0
	case ConnectFailed, Reset:
		c.blame(e, 1, breakGain)
		c.breaks(1)
		e.lost++
	case Full:
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
	if e.fail >= ejectAt && !slices.Contains(c.failed, e) {
		c.failed = append(c.failed, e)
	}
}

// lost tells whether an attempt has been silent for too long. It guards against cut links, stuck engines
// and answers that never come; it might hurt when notes are delayed, so it pauses after own pauses.
func (c *Controller) lost(a *attempt) bool {
	return !a.ended && !a.blamed && !a.streaming && c.now > c.silentAt(a)
}

// silentAt is when an attempt of which nothing more is heard counts as lost.
func (c *Controller) silentAt(a *attempt) time.Duration {
	limit := secs(overdue * c.expected(a.r).Seconds() * c.slowness(a.e))
	if c.cfg.NoteEvery > 0 {
		limit = secs(noteSlack * c.cfg.NoteEvery.Seconds())
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

func (c *Controller) onNote(ev Note) {
	a := c.attempt(ev.Request, ev.Attempt)
	if a == nil {
		return
	}
	r, took := a.r, (c.now - a.at).Seconds()
	a.heard = c.now
	switch ev.Kind {
	case NoteSpill:
		if !a.spillSeen && a.grant > 0 && r.need > 0 && ev.Amount > 0 {
			r.c.grantFix += 0.05 * ((a.grant+ev.Amount)/r.need - r.c.grantFix)
		}
		a.spillSeen = true
	case NoteWaits:
		if ev.Amount == 2 {
			a.e.loadUntil[r.group] = c.now + secs(c.usual(r.c)/float64(r.c.Threads))
		}
	case NoteShare:
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
	if r.done || a.cancelled || a.streaming || c.now+c.expected(r) > r.end || !c.cfg.Cancel ||
		r.c.Semantics == AtMostOnce || c.capReached(r) || !c.budgetAllows() {
		return
	}
	a.cancelled = true
	c.emit(Cancel{Request: r.id, Attempt: a.hop})
}

// ---- time

func (c *Controller) onTimer(ev Timer) {
	if ev.Tag != tickTag || c.now+c.cfg.Tick < c.wakeAt {
		return // set before an earlier one; hosts may round a time down, so a tick early is in time
	}
	if c.now-c.wakeAt > 5*housekeeping {
		c.pausedAt = c.now
	}
	c.wakeAt, c.due = math.MaxInt64, math.MaxInt64
	if c.cfg.AskedDiscovery && c.now >= c.askAt {
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
		c.hopeless(r) && (r.c.LateWorth == 0 || c.held > c.mostHeld)):
		c.giveUp(r)
	case r.held && c.hopeless(r) && !r.aside:
		c.unhold(r)
		c.hold(r, false)
	case r.out == 0 && !r.held || c.now >= r.end:
		c.finish(r)
		c.emit(Fail{Request: r.id})
	}
}

// ---- choosing and releasing

// fits tells whether this gateway may run one more query of a class at all: its part of the fleet's threads
// and memory.
func (c *Controller) fits(r *request) bool {
	use := c.usable()
	if g := c.wanted(r); g > 0 && use.memory > 0 && use.granted > 0 && use.granted+g > use.memory*c.share() {
		return false
	}
	w := float64(r.c.Threads)
	return r.c == c.prefer || use.threads == 0 || c.wholeShare(r) ||
		use.threads+w <= calmRoom*c.bound()*use.cores+calmRoom*w
}

// large tells whether so many gateways share the fleet that an even part of an engine is a sliver of a query.
func (c *Controller) large() bool {
	return 4*threadsPerCore*c.cores*c.share() < float64(len(c.live)*c.widest)
}

// wholeShare tells whether an even part of an engine is half of a query or more: then one rounds up on each
// engine, else on all engines together. It goes by even parts, since all gateways would round up at once.
func (c *Controller) wholeShare(r *request) bool {
	even := threadsPerCore * c.cores / float64(max(c.cfg.Gateways, 1))
	return 2*even >= float64(len(c.live)*r.c.Threads)
}

// bound is the threads a core that this gateway may run on average.
func (c *Controller) bound() float64 {
	jam, most := c.jam()
	return (most - (most-jamThreads)*jam) * c.share()
}

// jam is how far the bound is down, from 0 to 1, and what it is without a jam.
func (c *Controller) jam() (jam, most float64) {
	p, most := c.prefer, threadsPerCore
	jam = (1 + (p.pace/p.best-1)*c.fade(p.seenAt, evidenceLife) - jamFrom) / (jamFull - jamFrom)
	if c.large() {
		jam, most = (c.crowd*c.fade(c.crowdAt, evidenceLife)-crowdFrom)/(crowdFull-crowdFrom), looseThreads
	}
	return min(max(jam, 0), 1), most
}

// room tells whether an engine may take one more query of a class: rests after a refusal or failures, the
// memory that this gateway may grant, and the thread bound, which gives way on a calm engine.
func (c *Controller) room(e *engine, r *request) bool {
	failed := c.now-e.failAt < 2*fullRest
	if c.resting(e) || failed && e.lost >= downAfter || c.failing(e) >= ejectAt &&
		(len(e.running) > 0 || failed) && c.ejected() <= ejectMost*float64(len(c.live)) {
		return false
	}
	if c.now < e.warmAt && c.cfg.OverloadFactor > 0 && c.large() {
		return true
	}
	spread := float64(len(c.live)) / float64(max(len(c.near), 1)) // its share falls on those nearby
	if e.granted > 0 && e.memory > 0 && r.need > 0 && e.granted >= e.memory*c.share()*spread {
		return false
	}
	bound, whole := c.bound(), c.wholeShare(r) // a calm engine has room for whole queries
	if l := e.report; c.now-e.reportAt < 2*time.Second && (l.Busy >= 0 || l.InFlight >= 0) && l.Waiting < 1 &&
		max(l.Busy, l.Disk, l.Memory, l.InFlight/e.cores) < calmAt {
		bound, whole = bound*calmRoom, true
	}
	own := bound * e.cores * spread / min(max(c.slowness(e), 1), slowMost)
	if r.c == c.prefer {
		return e.prefer+e.threads < preferredRoom*own
	}
	use := c.usable()
	if e.threads == 0 && (use.threads == 0 || whole) {
		return true
	}
	return e.threads < own && use.threads+float64(r.c.Threads) <= bound*use.cores
}

// cost is an engine's own work per core with this query, scaled by the evidence against the engine.
func (c *Controller) cost(e *engine, r *request) float64 {
	scale := max(c.slowness(e), 0.5) * (1 + failWeight*max(c.failing(e)-c.breakAll, 0))
	scale /= c.warmth(e)
	if e.reportAt > 0 && c.now-e.reportAt < time.Second {
		scale *= 1 + max(e.report.Busy, 0) + max(e.report.Disk, 0) + max(e.report.Memory, 0) +
			min(max(e.report.Waiting, 0), 5)
		if e.report.InFlight >= 0 {
			scale *= 1 + e.report.InFlight/e.cores
		}
	}
	if c.clash(e, r) {
		scale *= failWeight
	}
	if e.owed && len(e.running) == 0 {
		scale /= failWeight
	}
	for _, a := range r.attempts {
		if a.e == e {
			scale *= failWeight
		}
	}
	return (e.work + r.work()) / e.cores * scale
}

// clash tells whether a load that holds the query's group on that engine would stop it.
func (c *Controller) clash(e *engine, r *request) bool {
	if !r.c.Load && !r.c.WaitsOnLoad {
		return false
	}
	return e.loadUntil[r.group] > c.now || slices.ContainsFunc(e.running, func(a *attempt) bool {
		return a.r.c.Load && a.r.group == r.group
	})
}

// nearby are the engines that this gateway uses: all of a small fleet, else as many as the threads it may
// run, in a large one as many as it may run of the widest queries. They are dealt out evenly by the gateways'
// numbers: own counts tell the more of what an engine runs the fewer share it.
func (c *Controller) nearby() []*engine {
	n, size := len(c.live), max(int(threadsPerCore*c.share()*c.cores), nearLeast)
	if c.large() {
		size = max(int(looseThreads*c.share()*c.cores/float64(c.widest))+1, nearFew)
	}
	if size = min(size, n); size != c.nearSize {
		c.near, c.nearSize = c.near[:0], size
		for _, i := range ration.Deal(c.cfg.Instance, c.cfg.Gateways, n, size) {
			c.near = append(c.near, c.live[i])
		}
	}
	return c.near
}

// homes are the engines nearby that a query's table group is read from or, for a load, loaded on: readers
// take one end of their ranks, loads the other. Of few all are: halves of three or four would jam.
func (c *Controller) homes(r *request) []*engine {
	near := c.nearby()
	if r.group == 0 || len(near) < 3 || c.large() && len(near) < homesFrom {
		return near
	}
	key := home{r.group, r.c.Load}
	if c.homeOf[key] == nil {
		if len(c.homeOf) >= homesMost {
			clear(c.homeOf)
		}
		ranks := slices.Clone(near)
		slices.SortFunc(ranks, func(a, b *engine) int {
			return cmp.Compare(mix(r.group, a.ID), mix(r.group, b.ID))
		})
		n := int(math.Ceil(homePart * float64(len(near))))
		if r.c.Load {
			n = int(math.Ceil(loadPart * float64(len(near))))
			slices.Reverse(ranks)
		}
		c.homeOf[key] = ranks[:n]
	}
	return c.homeOf[key]
}

// pick draws two engines of those with room and takes the one with less work.
func (c *Controller) pick(r *request) *engine {
	near := c.homes(r)
	if c.keyBlocked(r) || len(near) == 0 {
		return nil
	}
	if e := c.coldest(r); e != nil || !c.fits(r) {
		return e
	}
	var one *engine
	for range draws {
		e := near[c.rng.IntN(len(near))]
		if e == one || !c.allowed(r, e) || !c.room(e, r) {
			continue
		}
		if one == nil {
			one = e
			continue
		}
		if c.cost(e, r) < c.cost(one, r) {
			one = e
		}
		if c.failing(one) >= ejectAt || c.clash(one, r) {
			break // both draws are bad: look at more
		}
		return one
	}
	return c.least(r)
}

// least is the engine nearby with room and the least work or, where none has room, the best of a few others.
func (c *Controller) least(r *request) *engine {
	if len(c.live) == 0 {
		return nil
	}
	if e := c.coldest(r); e != nil || !c.fits(r) {
		return e
	}
	near := c.homes(r)
	if e := c.leastOf(r, near, len(near)); e != nil && !c.clash(e, r) || len(near) == len(c.live) {
		return e
	}
	return c.leastOf(r, c.live, max(draws, min(c.zonesOn(), 1)*len(c.live))) // all, where zones are cut off
}

// coldest is the cold engine, wherever it is, that this gateway has a ration of.
func (c *Controller) coldest(r *request) *engine {
	if !c.large() {
		return nil
	}
	cold := c.coldOnes()
	return c.leastOf(r, cold, len(cold))
}

// leastOf looks at some of the engines, from a random one on, so that ties fall anywhere.
func (c *Controller) leastOf(r *request, among []*engine, looks int) *engine {
	var best *engine
	least, from := 0.0, c.rng.IntN(max(len(among), 1))
	for i := range looks {
		e := among[(from+i)%len(among)]
		if !c.allowed(r, e) || !c.room(e, r) {
			continue
		}
		if cost := c.cost(e, r); best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
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
	e.zone.Tried(millis(c.now), zoneRests)
	c.due = min(c.due, c.dueOf(r))
	if e.lost >= downAfter {
		e.failAt = c.now // one try a rest, whenever it ends
	}
	if c.now < e.warmAt {
		e.spent = append(e.spent, spend{c.now, c.usual(r.c)})
	}
	terms := SetTerms{Request: r.id, GrantMB: a.grant}
	if a.preferred {
		terms.Priority = 2
	}
	if c.cfg.Priorities || a.grant > 0 {
		c.emit(terms)
	}
	c.emit(Send{Request: r.id, Engine: e.ID})
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
	case r.out > 0 && !c.cfg.SecondCopies:
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

// repeatAllowed keeps effects from happening twice.
func (c *Controller) repeatAllowed(r *request, e *engine) bool {
	if r.c.Semantics == Idempotent {
		return true
	}
	for _, a := range r.attempts {
		if !a.mayRun {
			continue
		}
		if r.c.Semantics == AtMostOnce || c.now >= a.at+r.c.Window ||
			r.c.Scope == ScopeZone && a.e.Zone != e.Zone || r.c.Scope == ScopeCell && a.e.Cell != e.Cell {
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
	b := c.cfg.Budget
	if b.Window <= 0 {
		c.extras = c.extras[:0]
		return true
	}
	c.arrivals, c.extras = within(c.arrivals, c.now-b.Window), within(c.extras, c.now-b.Window-1)
	return float64(len(c.extras)+1) <= b.Free+b.PerRequest*float64(len(c.arrivals))
}

// coldAllows keeps what all gateways send to a cold engine within what it can take: each has its slice, which
// sums over all of them to less, however unequal they are. In a large fleet, slices are rationed: they add up
// until they are worth a query of the largest class, to be spent on any within a window. What was due in two
// windows, and one query more, may meet in one.
func (c *Controller) coldAllows(r *request, e *engine) bool {
	if c.now >= e.warmAt || c.cfg.OverloadFactor <= 0 {
		return true
	}
	window := c.cfg.OverloadFor
	since, most := c.now-window, c.coldRate()*e.cores*c.cfg.ColdFrom*c.cfg.OverloadFactor*window.Seconds()
	if c.large() {
		most = c.largest()
		can := 0.85 * e.cores * c.warmth(e)
		rate := min(coldUse*can, (c.cfg.OverloadFactor*can-most/window.Seconds())/2)
		at, ok := e.ration.Chunk(millis(c.now), rate*c.share()/most, millis(window))
		if !ok {
			return false
		}
		since, most = secs(at/1000), most*(1+1e-9)
	}
	sum := c.usual(r.c) + e.peer.Cold
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
