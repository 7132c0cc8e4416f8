package dispatch

import (
	"reflect"
	"testing"
	"time"
)

func TestSameEventsSameActions(t *testing.T) {
	run := func() []Action {
		h := newHarness(t, twoClassConfig())
		h.updateEndpoints(ListComplete, testEngines(7)...)
		for i := range 300 {
			h.now += 7 * ms
			client := h.arrive([]string{"quick", "big"}[i%2], "")
			if i%3 == 0 && len(client.engines) > 0 {
				h.endLatest(client, Served)
			}
		}
		return h.actions
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events led to different actions")
	}
}

// allocationsPerRequest returns the number of allocations for one request: its arrival, its end and a timer.
func allocationsPerRequest(t *testing.T, engines int) float64 {
	t.Helper()
	config, list := largeFleetConfig(1, engines, 0)
	c, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	c.Handle(now, EndpointList{Mode: ListComplete, Endpoints: list}, nil)
	actions := make([]Action, 0, 16)
	return testing.AllocsPerRun(500, func() {
		now += 10 * ms
		c.Handle(now, Arrival{Request: "a", Class: "quick", TimeLeft: time.Second}, actions[:0])
		c.Handle(now, AttemptEnd{Request: "a", Outcome: Served, Last: true}, actions[:0])
		c.Handle(now, TimerFired{Tag: housekeepingTag}, actions[:0])
	})
}

// The number of allocations per event does not grow with the fleet.
func TestAllocationsDoNotGrowWithFleet(t *testing.T) {
	few, many := allocationsPerRequest(t, 8), allocationsPerRequest(t, 80)
	if many > few+1 {
		t.Errorf("%v allocations per request with 8 engines, %v with 80", few, many)
	}
}
