package dispatch

import (
	"testing"
)

// A restarted router with a stale list learns from outcomes and from the full list that follows.
func TestCompleteListReplacesCachedList(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListCached, testEngines(3)...)
	client := h.arrive("quick", "")
	h.endLatest(client, ConnectFailed)
	if len(client.engines) != 2 || client.engines[0] == client.engines[1] {
		t.Fatalf("tried %v", client.engines)
	}
	h.endLatest(client, Served)
	h.updateEndpoints(ListComplete, testEngines(3)[1:]...)
	for range 30 {
		h.now += 50 * ms
		h.endLatest(h.arrive("quick", ""), Served)
	}
	for _, s := range h.starts[2:] {
		if s.Engine == 1 {
			t.Fatal("sent to an engine that the full list no longer has")
		}
	}
}

func TestDrainingEngineGetsNoRequests(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(2)...)
	gone := testEngines(2)[0]
	gone.State = Draining
	h.updateEndpoints(ListIncremental, gone)
	for range 20 {
		h.now += 20 * ms
		h.endLatest(h.arrive("quick", ""), Served)
	}
	h.updateEndpoints(ListComplete, testEngines(1)...)
	for range 20 {
		h.now += 20 * ms
		h.endLatest(h.arrive("quick", ""), Served)
	}
	if len(h.starts) != 40 {
		t.Errorf("%d sends, want 40", len(h.starts))
	}
}

// Gone engines with nothing out are forgotten.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	for i := range 200 {
		e := testEngines(1)[0]
		e.ID = EngineID(i + 1)
		h.updateEndpoints(ListComplete, e)
		h.now += 100 * ms
		h.endLatest(h.arrive("quick", ""), Served)
	}
	if len(h.controller.endpoints.all) > 2 || len(h.controller.endpoints.byID) > 2 {
		t.Errorf("%d engines remembered, %d by id", len(h.controller.endpoints.all), len(h.controller.endpoints.byID))
	}
}
