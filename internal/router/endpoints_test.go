package router

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
)

// A draining or removed engine gets nothing new, and connections to an address that an engine has left are forgotten.
func TestDrainingOrMovedEndpoints(t *testing.T) {
	h := newHarness(t)
	h.updateEndpoint(dispatch.ListIncremental, dispatch.Live, "10.0.0.2:1")
	h.submit("lookup", 1000, 0)
	if len(h.client.calls) != 1 || h.client.calls[0].Engine.Address != "10.0.0.2:1" || len(h.client.forgotten) != 1 {
		t.Errorf("calls %+v, forgotten %v", h.client.calls, h.client.forgotten)
	}
	for _, state := range []dispatch.EndpointState{dispatch.Draining, dispatch.Removed} {
		h.updateEndpoint(dispatch.ListIncremental, state, "10.0.0.2:1")
		h.submit("lookup", 1000, 0)
		if len(h.client.calls) != 1 {
			t.Errorf("state %d: sent to a draining or removed engine", state)
		}
	}
	if len(h.client.forgotten) != 2 {
		t.Errorf("forgotten %v", h.client.forgotten)
	}
	h.updateEndpoint(dispatch.ListIncremental, dispatch.Live, "10.0.0.2:1")
	h.loop.Post(func() { h.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListComplete}, nil) })
	h.runLoop()
	if len(h.client.forgotten) != 3 {
		t.Errorf("an engine that a complete list leaves out: forgotten %v", h.client.forgotten)
	}
}

// Engines come and go, and their ids never return: removed engines are forgotten, but not before the module has handled
// the removal, because it may still start attempts there until then.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	h := newHarness(t)
	for i := range 50 {
		h.loop.Post(func() {
			id := dispatch.EngineID(100 + i)
			list := dispatch.EndpointList{Mode: dispatch.ListIncremental, Endpoints: []dispatch.Endpoint{
				{ID: id, Kind: "k", CapacityWeight: 1}, {ID: id - 1, Kind: "k", State: dispatch.Removed},
			}}
			h.core.UpdateEndpoints(list, map[dispatch.EngineID]string{id: "10.0.0.9:1"})
		})
		h.runLoop()
	}
	if len(h.core.endpoints.engines) != 2 {
		t.Errorf("%d engines are in the table: %v", len(h.core.endpoints.engines), h.core.endpoints.engines)
	}
	h.loop.Post(func() { h.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListComplete}, nil) })
	h.runLoop()
	if len(h.core.endpoints.engines) != 0 {
		t.Errorf("after an empty complete list: %v", h.core.endpoints.engines)
	}
}

// A cordon is in force when it is confirmed: nothing more is sent, and attempts that were not started are canceled. An
// engine that no list has named can't be cordoned.
func TestCordonCancelsUnstartedAttempts(t *testing.T) {
	h := newHarness(t)
	h.submit("lookup", 3000, 0)
	confirmed := map[string]bool{}
	h.loop.Post(func() {
		confirmed["unknown"], confirmed["known"] = h.core.Cordon(8), h.core.Cordon(7)
		confirmed["again"] = h.core.Cordon(7)
	})
	h.runLoop()
	if diff := cmp.Diff(map[string]bool{"unknown": false, "known": true, "again": true}, confirmed); diff != "" {
		t.Error(diff)
	}
	h.submit("lookup", 3000, 0)
	if len(h.client.calls) != 1 || len(h.client.unstartedCanceled) == 0 {
		t.Errorf("%d calls, unstarted canceled at %v", len(h.client.calls), h.client.unstartedCanceled)
	}
	if h.core.AvoidedEngines() != 1 || h.core.ListedEngines() != 1 {
		t.Errorf("avoided %d of %d engines", h.core.AvoidedEngines(), h.core.ListedEngines())
	}
	h.loop.Post(func() {
		confirmed["uncordoned"], confirmed["unknown uncordoned"] = h.core.Uncordon(7), h.core.Uncordon(8)
	})
	h.runLoop()
	if !confirmed["uncordoned"] || confirmed["unknown uncordoned"] || len(h.client.calls) != 2 {
		t.Errorf("after the cordon: %v, %d calls", confirmed, len(h.client.calls))
	}
}
