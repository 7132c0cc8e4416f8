package dispatch

import (
	"math"
	"slices"
	"time"

	"windflow/internal/decide/slowstart"
)

const (
	// warmRateMargin is multiplied by the observed work rate of warm engines when this router's share of a warming
	// engine is computed. warmUpBudgetShare is the part of a warming engine's current capacity that the budgets of all
	// routers divide among them.
	warmRateMargin, warmUpBudgetShare = 0.8, 0.95
	// capacityUtilization is the utilization of an engine's cores at its capacity, as defined by the platform.
	capacityUtilization = 0.85
	// unobservedRate is the part of an even share that this router assumes before it has observed a rate.
	unobservedRate = 0.5
	// warmUpStartFraction divides the overload window: an attempt has to start on a warming engine within that part of
	// it.
	warmUpStartFraction = 4
	// completedWorkDecayTime is the time over which the work completed by warm engines is averaged.
	completedWorkDecayTime = 10 * time.Second
	// quantumSlack is the factor by which the work of the largest class may change before the budgets are recomputed.
	quantumSlack = 1.05
	// roundingSlack keeps a sum of equal amounts of work from exceeding its limit by rounding errors.
	roundingSlack = 1e-9
)

// warmUp holds the slow start of one engine.
type warmUp struct {
	start, end  time.Duration
	sent        []sentWork // sent within the overload window
	budget      slowstart.Budget
	budgetBasis budgetBasis
	budgetDueMS float64 // time at which the budget is next due, the key of the heap of budgets
}

// sentWork is an amount of work that was sent to a warming engine, in core seconds.
type sentWork struct {
	at   time.Duration
	work float64
}

// budgetBasis holds the values from which the rate of a budget was computed.
type budgetBasis struct {
	quantum, cores float64
	revision       int // revision of the settings
}

func (w *warmUp) active(now time.Duration) bool { return now < w.end }

// extend moves the end of the warm-up to the given time if that is later.
func (w *warmUp) extend(end time.Duration) { w.end = max(end, w.end) }

// neverWarmedUp reports whether the engine has never had to warm up.
func (w *warmUp) neverWarmedUp() bool { return w.end == 0 }

// sentSince returns sum plus the work that was sent from the given time on.
func (w *warmUp) sentSince(since time.Duration, sum float64) float64 {
	for _, sent := range w.sent {
		if sent.at >= since {
			sum += sent.work
		}
	}
	return sum
}

// warmUpLimiter limits what all routers together send to a warming engine to what the engine can handle. In a small
// fleet each router gets a share of it. In a large fleet a share is less than one query: it accumulates until it
// covers a query of the largest class, the quantum, which may then be used within a window.
type warmUpLimiter struct {
	env             *environment
	classes         *classSet
	capacity        *capacityLimiter
	completedWork   float64 // completed on warm engines, decaying, in core seconds
	completedWorkAt time.Duration
	quantum         float64   // unit of budgets, in core seconds
	due             []*engine // warming engines, as a heap ordered by the time at which their budgets are next due
	budgeted        []*engine // engines that have budget, or had some recently, sorted by id
	warming         []*engine
}

// start begins the measurement of completed work.
func (l *warmUpLimiter) start() { l.completedWorkAt = l.env.now }

// begin starts the warm-up of an engine at the given time.
func (l *warmUpLimiter) begin(e *engine, at time.Duration) {
	config := &l.env.config
	e.warmUp.start = at
	e.warmUp.end = max(e.warmUp.end, at+config.WarmUp.Duration)
	salt := float64(rank(1, e.ID)>>11) / (1 << 53)
	e.warmUp.budget = slowstart.NewBudget(config.RouterIndex, config.Routers, salt, milliseconds(at))
	e.warmUp.budgetBasis = budgetBasis{}
}

// capacityShare returns the share of its capacity that an engine has at present.
func (l *warmUpLimiter) capacityShare(e *engine) float64 {
	initial := l.initialShare()
	if !e.warmUp.active(l.env.now) || initial == 1 {
		return 1
	}
	elapsed := (l.env.now - e.warmUp.start).Seconds() / l.env.config.WarmUp.Duration.Seconds()
	return initial + (1-initial)*min(elapsed, 1)
}

// initialShare returns the share of its capacity that an engine has when it starts.
func (l *warmUpLimiter) initialShare() float64 {
	if l.env.config.WarmUp.Duration <= 0 || l.env.config.WarmUp.InitialShare <= 0 {
		return 1
	}
	return l.env.config.WarmUp.InitialShare
}

// recordSent counts an attempt sent to a warming engine.
func (l *warmUpLimiter) recordSent(a *attempt) {
	if w := &a.engine.warmUp; w.active(l.env.now) {
		w.sent = append(w.sent, sentWork{l.env.now, a.request.class.estimate.usualWork()})
	}
}

// recordCompleted counts an attempt that was served by a warm engine.
func (l *warmUpLimiter) recordCompleted(a *attempt) {
	if a.engine.warmUp.active(l.env.now) {
		return
	}
	earlier := l.completedWork * l.env.decay(l.completedWorkAt, completedWorkDecayTime)
	l.completedWork = earlier + a.request.class.estimate.usualWork()
	l.completedWorkAt = l.env.now
}

// completed returns the completed work and the time to which it has decayed.
func (l *warmUpLimiter) completed() (work float64, at time.Duration) {
	return l.completedWork, l.completedWorkAt
}

// restoreCompleted takes over the completed work from another process unless it is invalid.
func (l *warmUpLimiter) restoreCompleted(work float64, at time.Duration) {
	if work >= 0 && at <= l.env.now {
		l.completedWork, l.completedWorkAt = work, at
	}
}

// startWithin returns the time within which an attempt has to start on an engine; 0 means no limit.
func (l *warmUpLimiter) startWithin(e *engine) time.Duration {
	if !e.warmUp.active(l.env.now) {
		return 0
	}
	return l.env.config.WarmUp.OverloadWindow / warmUpStartFraction
}

// allows reports whether an engine's slow start allows one more request.
func (l *warmUpLimiter) allows(req *request, target *engine) bool {
	config := &l.env.config
	if !target.warmUp.active(l.env.now) || config.WarmUp.OverloadFactor <= 0 {
		return true
	}
	window := config.WarmUp.OverloadWindow
	since := l.env.now - window
	bound := l.rate() * target.cores * config.WarmUp.InitialShare * config.WarmUp.OverloadFactor * window.Seconds()
	if l.capacity.largeFleet() {
		l.capacity.refresh()
		bound = l.classes.largestWork()
		budgetSince, ok := l.budget(target).Available(l.env.nowMS(), milliseconds(window))
		if !ok {
			return false
		}
		since = seconds(budgetSince / 1000)
		bound *= 1 + roundingSlack
	}
	sum := req.class.estimate.usualWork() + target.usage.otherProcess.WarmUpWork
	target.warmUp.sent = slices.DeleteFunc(target.warmUp.sent, func(s sentWork) bool { return s.at < l.env.now-window })
	return target.warmUp.sentSince(since, sum) <= bound
}

// rate returns the work per core and second that this router assumes as its share of a warm engine.
func (l *warmUpLimiter) rate() float64 {
	rate := unobservedRate * capacityUtilization * l.env.fleetShare()
	if warm := l.capacity.warmResources(); warm.cores > 0 {
		completed := warmRateMargin * l.completedWork * l.env.decay(l.completedWorkAt, completedWorkDecayTime)
		rate = max(rate, completed/completedWorkDecayTime.Seconds()/warm.cores)
	}
	return rate
}

// budgetRate returns the rate at which this router's budget for an engine accrues, in quanta per second.
func (l *warmUpLimiter) budgetRate(target *engine, quantum float64) (rate slowstart.Rate) {
	window, overload := l.env.config.WarmUp.OverloadWindow.Seconds(), l.env.config.WarmUp.OverloadFactor
	warmRate := capacityUtilization * target.cores
	crossing := math.Inf(1) // engine rate at which the two limits in quantaPerSecond are equal
	if d := overload - 2*warmUpBudgetShare; d > 0 {
		crossing = quantum / window / d
	}
	quantaPerSecond := func(engineRate float64) float64 {
		steady := warmUpBudgetShare * engineRate
		burst := (overload*engineRate - quantum/window) / 2
		return min(steady, burst) * l.env.fleetShare() / quantum
	}
	initial := l.initialShare()
	start, end := milliseconds(target.warmUp.start), milliseconds(target.warmUp.start+l.env.config.WarmUp.Duration)
	rate = rate.WithPoint(start, quantaPerSecond(warmRate*initial))
	// The rate becomes positive at the first of these engine rates, and its slope changes at the second one.
	for _, engineRate := range []float64{quantum / window / overload, crossing} {
		if part := (engineRate/warmRate - initial) / (1 - initial); part > 0 && part < 1 {
			rate = rate.WithPoint(start+part*(end-start), quantaPerSecond(engineRate))
		}
	}
	return rate.WithPoint(end, quantaPerSecond(warmRate))
}

// setWarming replaces the list of warming engines.
func (l *warmUpLimiter) setWarming(engines []*engine) {
	l.warming = engines
	l.computeBudgets()
}

// computeBudgets recomputes the budgets of all warming engines from the quantum, and orders the engines by the time
// at which their budgets are due.
func (l *warmUpLimiter) computeBudgets() {
	l.due, l.budgeted = l.due[:0], l.budgeted[:0]
	if l.env.config.WarmUp.OverloadFactor <= 0 || !l.capacity.largeFleet() {
		return
	}
	if l.quantum == 0 {
		l.quantum = l.classes.largestWork()
	}
	for _, e := range l.warming {
		e.warmUp.budgetDueMS = l.budget(e).NextDue()
		l.due = append(l.due, e)
		l.budgeted = append(l.budgeted, e)
	}
	for i := len(l.due)/2 - 1; i >= 0; i-- {
		siftDown(l.due, i)
	}
}

// budget returns an engine's budget, updated for the current quantum and settings.
func (l *warmUpLimiter) budget(e *engine) *slowstart.Budget {
	w := &e.warmUp
	if basis := (budgetBasis{l.quantum, e.cores, l.env.revision}); w.budgetBasis != basis {
		w.budgetBasis = basis
		w.budget.SetRate(l.budgetRate(e, basis.quantum), l.env.nowMS())
	}
	return &w.budget
}

// enginesWithBudget returns the warming engines for which this router has budget.
func (l *warmUpLimiter) enginesWithBudget() []*engine {
	l.capacity.refresh()
	largest := l.classes.largestWork()
	quantumOutdated := largest > l.quantum*quantumSlack || largest < l.quantum/quantumSlack
	if l.quantum > 0 && quantumOutdated {
		l.quantum = largest
		l.computeBudgets()
	}
	now, window := l.env.nowMS(), milliseconds(l.env.config.WarmUp.OverloadWindow)
	l.collectDue(now, window)
	l.budgeted = slices.DeleteFunc(l.budgeted, func(e *engine) bool {
		_, ok := e.warmUp.budget.Available(now, window)
		return !ok
	})
	return l.budgeted
}

// collectDue adds engines whose budget has become due to the engines that have budget.
func (l *warmUpLimiter) collectDue(now, window float64) {
	for len(l.due) > 0 && l.due[0].warmUp.budgetDueMS <= now {
		e := l.due[0]
		e.warmUp.budget.Available(now, window)
		e.warmUp.budgetDueMS = e.warmUp.budget.NextDue()
		siftDown(l.due, 0)
		if at, found := slices.BinarySearchFunc(l.budgeted, e, byEngineID); !found {
			l.budgeted = slices.Insert(l.budgeted, at, e)
		}
	}
}

// siftDown moves the engine at index i down the heap until the heap is ordered.
func siftDown(heap []*engine, i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heap); child++ {
			if heap[child].warmUp.budgetDueMS < heap[least].warmUp.budgetDueMS {
				least = child
			}
		}
		if least == i {
			return
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
}
