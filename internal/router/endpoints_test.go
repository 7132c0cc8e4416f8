package router

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
)

// A draining or removed engine gets no new attempt. The engine client is told to forget an engine that has moved, was
// removed or is missing from a complete list, so that it does not reuse connections to its old address.
func TestDrainingOrMovedEndpoints(t *testing.T) {
	h := newHarness(t)
	h.updateEndpoint(dispatch.ListIncremental, dispatch.Live, "10.0.0.2:1")
	h.submit("lookup", 1000, 0)
	if len(h.client.calls) != 1 || h.client.calls[0].Engine.Address != "10.0.0.2:1" || len(h.client.forgotten) != 1 {
		t.Errorf("moved engine: calls %+v, forgotten %v; want one call at the new address, one forgotten",
			h.client.calls, h.client.forgotten)
	}
	for _, state := range []dispatch.EndpointState{dispatch.Draining, dispatch.Removed} {
		h.updateEndpoint(dispatch.ListIncremental, state, "10.0.0.2:1")
		h.submit("lookup", 1000, 0)
		if len(h.client.calls) != 1 {
			t.Errorf("state %d: sent to a draining or removed engine", state)
		}
	}
	if len(h.client.forgotten) != 2 {
		t.Errorf("removed engine: forgotten %v, want two", h.client.forgotten)
	}
	h.updateEndpoint(dispatch.ListIncremental, dispatch.Live, "10.0.0.2:1")
	h.loop.Post(func() { h.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListComplete}, nil) })
	h.runLoop()
	if len(h.client.forgotten) != 3 {
		t.Errorf("engine missing from a complete list: forgotten %v, want three", h.client.forgotten)
	}
}

// Removed engines are deleted from the table. Without that, the table would grow while engines with new ids replace old
// ones. They are not deleted before the dispatch module has handled the removal, because it may start attempts there
// until then.
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
		t.Errorf("%d engines are in the table, want 2: %v", len(h.core.endpoints.engines), h.core.endpoints.engines)
	}
	h.loop.Post(func() { h.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListComplete}, nil) })
	h.runLoop()
	if len(h.core.endpoints.engines) != 0 {
		t.Errorf("after an empty complete list, the table still has %v", h.core.endpoints.engines)
	}
}

// When Cordon returns, the cordon is active: no attempt is started at the engine, and attempts that have not started
// there are canceled. An engine that no endpoint list has contained can't be cordoned.
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
		t.Errorf("%d calls, unstarted attempts canceled at %v; want 1 call, at least one cancel", len(h.client.calls),
			h.client.unstartedCanceled)
	}
	if h.core.AvoidedEngines() != 1 || h.core.ListedEngines() != 1 {
		t.Errorf("%d of %d engines are avoided, want 1 of 1", h.core.AvoidedEngines(), h.core.ListedEngines())
	}
	h.loop.Post(func() {
		confirmed["uncordoned"], confirmed["unknown uncordoned"] = h.core.Uncordon(7), h.core.Uncordon(8)
	})
	h.runLoop()
	if !confirmed["uncordoned"] || confirmed["unknown uncordoned"] || len(h.client.calls) != 2 {
		t.Errorf("after Uncordon: results %v, %d calls; want 2 calls", confirmed, len(h.client.calls))
	}
}
