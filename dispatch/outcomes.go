package dispatch

// outcomeLearner updates the estimates of engines and classes from the outcomes of attempts.
type outcomeLearner struct {
	env   *environment
	fleet *fleetState
}

// learn updates what is known about the engine and the request's class from an outcome.
func (l *outcomeLearner) learn(ended *attempt, event AttemptEnd) {
	if event.Report != nil {
		l.fleet.endpoints.recordReport(ended.engine, *event.Report)
	}
	l.fleet.recordOutcome(ended, event.Outcome)
	health := &ended.engine.health
	switch event.Outcome {
	case Served:
		l.learnServed(ended, event)
	case EngineFailed:
		ended.request.engineErrors++
		l.fleet.outliers.attributeFailure(ended.engine, errorGain)
		l.fleet.outliers.recordErrorShare(1)
		health.recordConnected()
	case ConnectFailed, ConnectionReset:
		l.fleet.outliers.attributeFailure(ended.engine, errorGain)
		l.fleet.outliers.recordErrorShare(1)
		health.recordConnectionFailure()
	case EngineFull:
		health.recordFull(l.env)
	case TimedOut:
		if !ended.attributed && l.env.now-ended.startedAt > 2*ended.request.expectedTime(l.env) {
			l.observeServiceTime(ended)
		}
	case Cancelled, NotSent:
	}
}

// learnServed updates what is known from a served attempt.
func (l *outcomeLearner) learnServed(a *attempt, event AttemptEnd) {
	l.fleet.outliers.recordAnswer(a.engine)
	l.fleet.outliers.recordErrorShare(0)
	health := &a.engine.health
	health.recordServed()
	if health.down() {
		l.fleet.restartWarmUp(a.engine, l.env.now)
	}
	health.recordConnected()
	l.observeServiceTime(a)
	l.fleet.warmUps.recordCompleted(a)
	l.learnMemory(a, event.NeedMB)
}

// learnMemory updates the ratio of needed to estimated memory of the class. Only if engines send progress reports does
// the absence of a spill report show that less memory suffices.
func (l *outcomeLearner) learnMemory(a *attempt, neededMB float64) {
	req := a.request
	switch {
	case req.neededMB <= 0:
	case neededMB > 0:
		req.class.estimate.learnMemoryNeed(neededMB, req.neededMB)
	case !a.spilled && a.grantMB > 0 && l.env.config.Features.ProgressInterval > 0:
		req.class.estimate.learnNoSpill()
	}
}

// observeServiceTime records the service time of an attempt relative to the usual service time of its class.
func (l *outcomeLearner) observeServiceTime(a *attempt) {
	req := a.request
	estimate := &req.class.estimate
	elapsed := max((l.env.now - a.startedAt).Seconds(), minServiceTime)
	serviceTime := elapsed * float64(req.class.Threads) / req.estimate
	a.engine.health.observeSlowness(l.env, serviceTime/estimate.mean)
	estimate.observe(l.env, serviceTime, l.fleet.capacity.largeFleet())
	l.fleet.capacity.observeServiceTime(serviceTime / estimate.best)
}

// onSpill updates the memory need of the class from an attempt that spills to disk.
func (l *outcomeLearner) onSpill(a *attempt, missingMB float64) {
	req := a.request
	if !a.spilled && a.grantMB > 0 && req.neededMB > 0 && missingMB > 0 {
		req.class.estimate.learnSpill(a.grantMB+missingMB, req.neededMB)
	}
	a.spilled = true
}

// onBlocked records that a load of another router blocks an attempt, and estimates how long the load takes.
func (l *outcomeLearner) onBlocked(a *attempt) {
	k, now := a.request.class, l.env.nowMS()
	a.engine.pressure.LockObserved(a.request.tableGroup, now, now+1000*k.estimate.usualWork()/float64(k.Threads))
}
