package dispatch

import "testing"

func TestDrainingEngineGetsNoRequests(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(2)...)
	draining := testEngines(2)[0]
	draining.State = Draining
	h.updateEndpoints(ListIncremental, draining)
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
		t.Errorf("%d attempts, want 40", len(h.starts))
	}
}

// A restarted router with an outdated list learns from outcomes and from the complete list that follows.
func TestCompleteListReplacesCachedList(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListCached, testEngines(3)...)
	client := h.arrive("quick", "")
	h.endLatest(client, ConnectFailed)
	if len(client.engines) != 2 || client.engines[0] == client.engines[1] {
		t.Fatalf("tried engines %v, want two different ones", client.engines)
	}
	h.endLatest(client, Served)
	h.updateEndpoints(ListComplete, testEngines(3)[1:]...)
	for range 30 {
		h.now += 50 * ms
		h.endLatest(h.arrive("quick", ""), Served)
	}
	for _, id := range h.startedOn()[2:] {
		if id == 1 {
			t.Fatal("started on an engine that the complete list does not name")
		}
	}
}

// Removed engines without outstanding attempts are forgotten.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	for i := range 200 {
		e := testEngines(1)[0]
		e.ID = EngineID(i + 1)
		h.updateEndpoints(ListComplete, e)
		h.now += 100 * ms
		h.endLatest(h.arrive("quick", ""), Served)
	}
	table := h.controller.endpoints
	if len(table.all) > 2 || len(table.byID) > 2 {
		t.Errorf("%d engines remembered, %d by id, want at most 2", len(table.all), len(table.byID))
	}
}
