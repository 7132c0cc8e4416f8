package dispatch

import "time"

// fleetState holds the components with state for each engine, and keeps them consistent when engines join, leave,
// restart or are cordoned.
type fleetState struct {
	env       *environment
	endpoints *endpointTable
	outliers  *outlierDetector
	warmUps   *warmUpLimiter
	capacity  *capacityLimiter
	subsets   *subsetChooser
}

// update applies an endpoint list from discovery.
func (f *fleetState) update(list EndpointList) {
	if list.Mode != ListIncremental {
		f.endpoints.removeAll()
	}
	firstList := f.endpoints.isEmpty()
	for _, entry := range list.Endpoints {
		if e, startedAt, restarted := f.endpoints.update(entry, firstList); restarted {
			f.restartWarmUp(e, startedAt)
		}
	}
	f.refresh()
}

// refresh updates all components after a change of the set of engines.
func (f *fleetState) refresh() {
	for _, e := range f.endpoints.refresh() {
		f.capacity.setOtherProcess(e, EngineUsage{})
		f.outliers.forget(e)
	}
	f.subsets.endpointsChanged()
	f.capacity.endpointsChanged()
	f.outliers.invalidate()
}

// restartWarmUp treats an engine as started at the given time and discards what was learned about it before.
func (f *fleetState) restartWarmUp(e *engine, at time.Duration) {
	e.health.restart()
	f.warmUps.begin(e, at)
	f.capacity.invalidate()
	f.outliers.invalidate()
}

// setCordoned cordons or uncordons an engine. An uncordoned engine has been restarted and soon gets a first request.
// It returns false if nothing changed or the engine is unknown.
func (f *fleetState) setCordoned(id EngineID, cordoned bool) bool {
	e := f.endpoints.setCordoned(id, cordoned)
	if e == nil {
		return false
	}
	f.restartWarmUp(e, f.env.now)
	e.health.cordonChanged(cordoned)
	f.refresh()
	return true
}

// applyKinds updates all components after a change of the engine kinds.
func (f *fleetState) applyKinds() {
	f.endpoints.applyKinds()
	f.refresh()
}

// recordOutcome records an outcome for the backoff from engines and zones. If a zone is lost or available again, the
// resources that this router may use change.
func (f *fleetState) recordOutcome(a *attempt, outcome Outcome) {
	if f.outliers.recordOutcome(a, outcome, f.capacity.largeFleet()) {
		f.capacity.invalidate()
	}
}

// snapshot adds the state of all engines to a snapshot.
func (f *fleetState) snapshot(s *Snapshot) {
	s.Known, s.Cordoned = f.endpoints.cordons.all()
	for _, e := range f.endpoints.engines() {
		s.Engines = append(s.Engines, e.snapshot())
	}
	s.CompletedWork, s.CompletedWorkAt = f.warmUps.completed()
}

// restoreEngine takes over the state of an engine from another process.
func (f *fleetState) restoreEngine(e *engine, old EngineSnapshot) {
	if old.WarmUpEnd > e.warmUp.end || old.WarmUpEnd > f.env.now {
		f.restartWarmUp(e, min(old.WarmUpStart, f.env.now))
		e.warmUp.extend(old.WarmUpEnd)
	}
	if e.health.restore(old) {
		f.outliers.invalidate()
		f.outliers.track(e)
	}
}

// setOtherProcessUsage replaces the recorded usage of the other process of this router on all engines.
func (f *fleetState) setOtherProcessUsage(engines []EngineUsage) {
	byEngine := map[EngineID]EngineUsage{}
	for _, usage := range engines {
		byEngine[usage.ID] = usage.withoutNegatives()
	}
	for _, e := range f.endpoints.engines() {
		f.capacity.setOtherProcess(e, byEngine[e.ID])
	}
}
