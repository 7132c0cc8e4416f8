package router

import (
	"slices"

	"windflow/dispatch"
)

// endpointTable holds the listed engines with their addresses, and their latest load reports.
type endpointTable struct {
	client  EngineClient
	engines map[dispatch.EngineID]Engine
	// removed lists removed engines that are still in the table. They stay until the dispatch module has handled the
	// removal, because it may still start an attempt there in reply to an earlier event.
	removed []dispatch.EngineID
	// unavailable has the engines that are draining or removed by the latest event, which the dispatch module may not
	// have handled yet.
	unavailable map[dispatch.EngineID]bool
	loads       map[dispatch.EngineID]reportedLoad
}

// reportedLoad is the load report of an engine that was last passed to the dispatch module, and when.
type reportedLoad struct {
	report dispatch.LoadReport
	at     float64
}

// loadReportIntervalMS is the time after which an unchanged load report is passed to the dispatch module again. Without
// it, every answer of an engine would cause an event, because every answer contains a load report.
const loadReportIntervalMS = 250.0

func newEndpointTable(client EngineClient) *endpointTable {
	return &endpointTable{
		client:      client,
		engines:     map[dispatch.EngineID]Engine{},
		unavailable: map[dispatch.EngineID]bool{},
		loads:       map[dispatch.EngineID]reportedLoad{},
	}
}

// count returns the number of engines in the table.
func (t *endpointTable) count() int { return len(t.engines) }

// removeUnlisted removes the engines that are not in a complete list, and cancels the attempts that have not started
// there, because other engines may get the addresses.
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
		// The dispatch module chose the engine while it was live at its old address. Attempts that have not started
		// could start much later, when the engine gets no new work or another engine has the address.
		t.client.CancelUnstarted(old)
	}
}

// cancelUnstarted ends the attempts of which nothing was sent to an engine. It does nothing if the engine is not in the
// table.
func (t *endpointTable) cancelUnstarted(id dispatch.EngineID) {
	if engine, ok := t.engines[id]; ok {
		t.client.CancelUnstarted(engine)
	}
}

// takeRemoved returns the removed engines that are still in the table, and clears the list of them.
func (t *endpointTable) takeRemoved() []dispatch.EngineID {
	removed := t.removed
	t.removed = nil
	return removed
}

// delete deletes engines from the table. It frees their entries even if their ids never appear again.
func (t *endpointTable) delete(ids []dispatch.EngineID) {
	for _, id := range ids {
		delete(t.engines, id)
		delete(t.unavailable, id)
		delete(t.loads, id)
	}
}

// recordLoad reports whether an engine's load report has to be passed to the dispatch module, and stores it if so: that
// is the case if it has changed, or if the last one was passed loadReportIntervalMS ago or earlier. Reports of engines
// that are not in the table are ignored.
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
