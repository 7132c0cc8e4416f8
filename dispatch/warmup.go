package dispatch

import (
	"math"
	"slices"
	"time"

	"windflow/internal/decide/slowstart"
)

const (
	// warmRateMargin is the part of the rate of warm engines that a warming one's slice is computed from, and
	// warmUpBudgetShare the part of its present capacity that budgets divide.
	warmRateMargin, warmUpBudgetShare = 0.8, 0.95
	// capacityUtilization is how busy the cores of an engine are at its capacity, as the platform counts it.
	capacityUtilization = 0.85
	// unobservedRate is the part of an even share that this router counts on before it has observed a rate.
	unobservedRate = 0.5
	// warmUpStartFraction is the part of the overload window within which an attempt has to start on a warming engine.
	warmUpStartFraction = 4
	// completedWorkLife is the time over which work done by warm engines is averaged.
	completedWorkDecayTime = 10 * time.Second
	// quantumSlack is how far the work of the largest class may move from what budgets were computed from.
	quantumSlack = 1.05
	// roundingSlack keeps a sum of equal amounts of work from exceeding its bound by rounding.
	roundingSlack = 1e-9
)

// warmUp is the slow start of one engine.
type warmUp struct {
	start, end  time.Duration
	sent        []sentWork // within the overload window
	budget      slowstart.Budget
	budgetBasis budgetBasis
	budgetDueMS float64 // when the budget is next due, in the heap of budgets
}

// sentWork is work that was sent to a warming engine.
type sentWork struct {
	at   time.Duration
	work float64
}

// budgetBasis is what the rate of a budget was computed from.
type budgetBasis struct {
	quantum, cores float64
	revision       int // of the settings
}

func (w *warmUp) active(now time.Duration) bool { return now < w.end }

// extend moves the end of the warm-up to a time, unless it is later already.
func (w *warmUp) extend(end time.Duration) { w.end = max(end, w.end) }

// alwaysWarm reports whether the engine never had to warm up.
func (w *warmUp) neverWarmedUp() bool { return w.end == 0 }

// sentSince adds up the work that was sent from a time on.
func (w *warmUp) sentSince(since time.Duration, sum float64) float64 {
	for _, sent := range w.sent {
		if sent.at >= since {
			sum += sent.work
		}
	}
	return sum
}

// warmUpLimiter keeps what all routers together send to a warming engine within what it can take. In a small fleet
// each router has a slice of it. In a large one, a slice is less than one query: it accumulates until it covers a
// query of the largest class, the quantum, which may be used within a window.
type warmUpLimiter struct {
	env             *environment
	classes         *classSet
	capacity        *capacityLimiter
	completedWork   float64 // finished on warm engines, decaying, in core seconds
	completedWorkAt time.Duration
	quantum         float64   // of budgets, in core seconds
	due             []*engine // warming engines, as a heap by when their budgets are next due
	budgeted        []*engine // those that have budget, or had some a while ago, by their ids
	warming         []*engine
}

// start starts the measurement of completed work.
func (l *warmUpLimiter) start() { l.completedWorkAt = l.env.now }

// begin starts an engine's warm-up from a time on.
func (l *warmUpLimiter) begin(e *engine, at time.Duration) {
	config := &l.env.config
	e.warmUp.start = at
	e.warmUp.end = max(e.warmUp.end, at+config.WarmUp.Duration)
	salt := float64(rank(1, e.ID)>>11) / (1 << 53)
	e.warmUp.budget = slowstart.NewBudget(config.RouterIndex, config.Routers, salt, milliseconds(at))
	e.warmUp.budgetBasis = budgetBasis{}
}

// factor is the share of its capacity that an engine has by now.
func (l *warmUpLimiter) capacityShare(e *engine) float64 {
	initial := l.initialShare()
	if !e.warmUp.active(l.env.now) || initial == 1 {
		return 1
	}
	elapsed := (l.env.now - e.warmUp.start).Seconds() / l.env.config.WarmUp.Duration.Seconds()
	return initial + (1-initial)*min(elapsed, 1)
}

// initialShare is that share when an engine has just started.
func (l *warmUpLimiter) initialShare() float64 {
	if l.env.config.WarmUp.Duration <= 0 || l.env.config.WarmUp.InitialShare <= 0 {
		return 1
	}
	return l.env.config.WarmUp.InitialShare
}

// recordSent counts an attempt on a warming engine.
func (l *warmUpLimiter) recordSent(a *attempt) {
	if w := &a.engine.warmUp; w.active(l.env.now) {
		w.sent = append(w.sent, sentWork{l.env.now, a.request.class.estimate.usualWork()})
	}
}

// recordCompleted counts an attempt that a warm engine has served.
func (l *warmUpLimiter) recordCompleted(a *attempt) {
	if a.engine.warmUp.active(l.env.now) {
		return
	}
	earlier := l.completedWork * l.env.decay(l.completedWorkAt, completedWorkDecayTime)
	l.completedWork = earlier + a.request.class.estimate.usualWork()
	l.completedWorkAt = l.env.now
}

// completed returns the completed work and the time that it has decayed to.
func (l *warmUpLimiter) completed() (work float64, at time.Duration) {
	return l.completedWork, l.completedWorkAt
}

// restoreCompleted takes over the completed work of another process, unless it makes no sense.
func (l *warmUpLimiter) restoreCompleted(work float64, at time.Duration) {
	if work >= 0 && at <= l.env.now {
		l.completedWork, l.completedWorkAt = work, at
	}
}

// startWithin is the time within which an attempt has to start on an engine; 0 means that it may start at any time.
func (l *warmUpLimiter) startWithin(e *engine) time.Duration {
	if !e.warmUp.active(l.env.now) {
		return 0
	}
	return l.env.config.WarmUp.OverloadWindow / warmUpStartFraction
}

// allows reports whether an engine's slow start leaves room for one more request.
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

// rate is the work a core a second that this router takes to be its part of a warm engine's.
func (l *warmUpLimiter) rate() float64 {
	rate := unobservedRate * capacityUtilization * l.env.fleetShare()
	if warm := l.capacity.warmResources(); warm.cores > 0 {
		completed := warmRateMargin * l.completedWork * l.env.decay(l.completedWorkAt, completedWorkDecayTime)
		rate = max(rate, completed/completedWorkDecayTime.Seconds()/warm.cores)
	}
	return rate
}

// budgetRate is the rate at which budget for an engine accrues to this router, in quanta.
func (l *warmUpLimiter) budgetRate(target *engine, quantum float64) (rate slowstart.Rate) {
	window, overload := l.env.config.WarmUp.OverloadWindow.Seconds(), l.env.config.WarmUp.OverloadFactor
	warmRate := capacityUtilization * target.cores
	crossing := math.Inf(1) // the engine's rate at which the two bounds of quantaPerSecond meet
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
	for _, engineRate := range []float64{quantum / window / overload, crossing} { // where the rate sets in, and bends
		if part := (engineRate/warmRate - initial) / (1 - initial); part > 0 && part < 1 {
			rate = rate.WithPoint(start+part*(end-start), quantaPerSecond(engineRate))
		}
	}
	return rate.WithPoint(end, quantaPerSecond(warmRate))
}

// setWarming takes the warming engines.
func (l *warmUpLimiter) setWarming(engines []*engine) {
	l.warming = engines
	l.computeBudgets()
}

// computeBudgets computes the budgets of all warming engines from the quantum, and orders them by when they are due.
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

// budget returns an engine's budget, computed from the present quantum.
func (l *warmUpLimiter) budget(e *engine) *slowstart.Budget {
	w := &e.warmUp
	if basis := (budgetBasis{l.quantum, e.cores, l.env.revision}); w.budgetBasis != basis {
		w.budgetBasis = basis
		w.budget.SetRate(l.budgetRate(e, basis.quantum), l.env.nowMS())
	}
	return &w.budget
}

// withBudget returns the warming engines that this router has budget for.
func (l *warmUpLimiter) enginesWithBudget() []*engine {
	l.capacity.refresh()
	largest := l.classes.largestWork()
	moved := largest > l.quantum*quantumSlack || largest < l.quantum/quantumSlack
	if l.quantum > 0 && moved {
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

// collectDue adds the engines whose budget has come due to those that have budget.
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

// siftDown moves an engine down the heap to where it belongs.
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
