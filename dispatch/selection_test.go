package dispatch

import (
	"testing"
	"time"
)

// Loads on one table group do not share an engine while another engine is free.
func TestLoadsOnOneTableGroupUseDifferentEngines(t *testing.T) {
	config := twoClassConfig()
	config.Classes[1].LocksTableGroup = true
	for seed := range uint64(20) {
		config.Seed = seed
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, testEngines(4)...)
		used := map[EngineID]bool{}
		for range 4 {
			client := h.arriveWith(Arrival{Class: "big", TableGroup: 9, TimeLeft: 15 * time.Second})
			used[client.engines[0]] = true
		}
		if len(used) < 4 {
			t.Fatalf("seed %d: four loads on one table group use %d engines, want 4", seed, len(used))
		}
	}
}

// A router uses other engines if the engines of its subset cannot take any request.
func TestOtherEnginesAreUsedWhenSubsetIsFull(t *testing.T) {
	config, list := largeFleetConfig(250, 60, 3)
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, list...)
	h.controller.env.now = h.now
	subset := map[EngineID]bool{}
	for _, e := range h.controller.selector.engines() {
		subset[e.ID] = true
		e.health.fullAt = h.now
	}
	client := h.arrive("quick", "")
	for range 20 {
		h.advance(10 * ms)
	}
	if len(client.engines) == 0 || subset[client.engines[0]] {
		t.Errorf("request started on %v, want an engine outside the subset", client.engines)
	}
}
