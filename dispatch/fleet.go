package dispatch

import "time"

// fleetState holds the parts that know the engines, and synchronizes them when engines join, leave, restart or are
// cordoned.
type fleetState struct {
	env       *environment
	endpoints *endpointTable
	outliers  *outlierDetector
	warmUps   *warmUpLimiter
	capacity  *capacityLimiter
	subsets   *subsetChooser
}

// update takes an endpoint list from discovery.
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

// refresh updates all parts after a change of the engines.
func (f *fleetState) refresh() {
	for _, e := range f.endpoints.refresh() {
		f.capacity.setOtherProcess(e, EngineUsage{})
		f.outliers.forget(e)
	}
	f.subsets.endpointsChanged()
	f.capacity.endpointsChanged()
	f.outliers.invalidate()
}

// restartWarmUp treats an engine as started at a time: what was learned of it is no longer valid.
func (f *fleetState) restartWarmUp(e *engine, at time.Duration) {
	e.health.restart()
	f.warmUps.begin(e, at)
	f.capacity.invalidate()
	f.outliers.invalidate()
}

// setCordoned cordons or uncordons an engine; an uncordoned one has been restarted, and gets a first request soon. It
// returns false if nothing changed for a known engine.
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

// applyKinds updates all parts after a change of the engine kinds.
func (f *fleetState) applyKinds() {
	f.endpoints.applyKinds()
	f.refresh()
}

// recordOutcome counts an outcome for the backoff from engines and zones. A zone that is lost or found changes what
// this router may use.
func (f *fleetState) recordOutcome(a *attempt, outcome Outcome) {
	if f.outliers.recordOutcome(a, outcome, f.capacity.largeFleet()) {
		f.capacity.invalidate()
	}
}

// snapshot adds to a snapshot what is known of the engines.
func (f *fleetState) snapshot(s *Snapshot) {
	s.Known, s.Cordoned = f.endpoints.cordons.all()
	for _, e := range f.endpoints.engines() {
		s.Engines = append(s.Engines, e.snapshot())
	}
	s.CompletedWork, s.CompletedWorkAt = f.warmUps.completed()
}

// restoreEngine takes over what another process knew of an engine.
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

// setOtherProcessUsage takes what the other process of this router has running in place of what it had.
func (f *fleetState) setOtherProcessUsage(engines []EngineUsage) {
	byEngine := map[EngineID]EngineUsage{}
	for _, usage := range engines {
		byEngine[usage.ID] = usage.withoutNegatives()
	}
	for _, e := range f.endpoints.engines() {
		f.capacity.setOtherProcess(e, byEngine[e.ID])
	}
}
