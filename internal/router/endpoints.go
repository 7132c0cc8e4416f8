package router

import (
	"slices"

	"windflow/dispatch"
)

// endpointTable holds the listed engines with their addresses, and their latest load reports.
type endpointTable struct {
	client  EngineClient
	engines map[dispatch.EngineID]Engine
	// removed engines stay in the table until the module has handled their removal: an event that was gathered ahead of
	// it may still have the module start an attempt there.
	removed []dispatch.EngineID
	// unavailable engines are draining or removed by the latest event, which the module may not have handled yet.
	unavailable map[dispatch.EngineID]bool
	loads       map[dispatch.EngineID]reportedLoad
}

// reportedLoad is an engine's latest load report, and when it was passed to the module.
type reportedLoad struct {
	report dispatch.LoadReport
	at     float64
}

// loadReportIntervalMS is how often the module gets a load report that stays the same: every answer of an engine
// brings one.
const loadReportIntervalMS = 250.0

func newEndpointTable(client EngineClient) *endpointTable {
	return &endpointTable{
		client:      client,
		engines:     map[dispatch.EngineID]Engine{},
		unavailable: map[dispatch.EngineID]bool{},
		loads:       map[dispatch.EngineID]reportedLoad{},
	}
}

// count is the number of engines in the table.
func (t *endpointTable) count() int { return len(t.engines) }

// removeUnlisted removes the engines that a complete list leaves out; their addresses may pass to others.
func (t *endpointTable) removeUnlisted(endpoints []dispatch.Endpoint) {
	for id, engine := range t.engines {
		if slices.ContainsFunc(endpoints, func(e dispatch.Endpoint) bool { return e.ID == id }) {
			continue
		}
		t.client.Forget(engine)
		t.client.CancelUnstarted(engine)
		t.unavailable[id] = true
		t.removed = append(t.removed, id)
	}
}

// update applies the state and the address of an endpoint.
func (t *endpointTable) update(endpoint dispatch.Endpoint, address string) {
	id := endpoint.ID
	old, known := t.engines[id]
	live := endpoint.State == dispatch.Live
	delete(t.unavailable, id)
	if !live && (known || endpoint.State == dispatch.Draining) {
		t.unavailable[id] = true
	}
	moved := known && old.Address != address
	if endpoint.State == dispatch.Removed {
		if known {
			t.client.Forget(old)
			t.removed = append(t.removed, id)
		}
	} else {
		if moved {
			t.client.Forget(old)
		}
		t.engines[id] = Engine{ID: id, Address: address, Kind: endpoint.Kind}
		t.removed = slices.DeleteFunc(t.removed, func(r dispatch.EngineID) bool { return r == id })
	}
	if known && (moved || !live) {
		// The module chose the engine while it was live, at its old address. Unstarted attempts could start much
		// later, when that is no longer true or another engine has the address.
		t.client.CancelUnstarted(old)
	}
}

// cancelUnstarted ends the attempts that have not been started at an engine, if it is in the table.
func (t *endpointTable) cancelUnstarted(id dispatch.EngineID) {
	if engine, ok := t.engines[id]; ok {
		t.client.CancelUnstarted(engine)
	}
}

// takeRemoved returns the removed engines that are still in the table, and starts a new list of them.
func (t *endpointTable) takeRemoved() []dispatch.EngineID {
	removed := t.removed
	t.removed = nil
	return removed
}

// delete drops engines from the table; their ids need not return.
func (t *endpointTable) delete(ids []dispatch.EngineID) {
	for _, id := range ids {
		delete(t.engines, id)
		delete(t.unavailable, id)
		delete(t.loads, id)
	}
}

// recordLoad keeps an engine's load report and tells whether it is due for the module: it has changed, or the last one
// was passed on some time ago.
func (t *endpointTable) recordLoad(id dispatch.EngineID, report dispatch.LoadReport, now float64) bool {
	if _, listed := t.engines[id]; !listed {
		return false
	}
	last, known := t.loads[id]
	if known && last.report == report && now-last.at < loadReportIntervalMS {
		return false
	}
	t.loads[id] = reportedLoad{report: report, at: now}
	return true
}
