package dispatch

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// A bad plan is cancelled where that is allowed, its outcome awaited, and the query run elsewhere.
func TestBadPlanIsRerouted(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		config := twoClassConfig()
		config.CancelAllowed = allowed
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, testEngines(3)...)
		for range 40 {
			client := h.arriveWith(Arrival{Class: "big", Estimate: time.Second, TimeLeft: 15 * time.Second})
			h.now += 250 * ms
			h.endLatest(client, Served)
		}
		client := h.arriveWith(Arrival{Class: "big", Estimate: time.Second, TimeLeft: 15 * time.Second})
		h.now += 500 * ms
		acts := h.handle(AttemptProgress{Request: client.id, Kind: ProgressFraction, Amount: 0.05})
		cancelled := reflect.DeepEqual(acts, []Action{CancelAttempt{Request: client.id, Attempt: 0}})
		if cancelled != allowed {
			t.Fatalf("cancel allowed %v: %v", allowed, acts)
		}
		if allowed {
			h.endLatest(client, Cancelled)
			if len(client.engines) != 2 || client.engines[1] == client.engines[0] {
				t.Errorf("not run elsewhere: %v", client.engines)
			}
		}
	}
}

// A link that is cut shows as silence: the attempt is cancelled, the engine blamed, the query run elsewhere.
func TestSilentAttemptIsRerouted(t *testing.T) {
	config := twoClassConfig()
	config.CancelAllowed, config.ProgressInterval = true, 500*ms
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(3)...)
	silent, heard := h.arrive("big", ""), h.arrive("big", "")
	h.advance(500 * ms)
	h.handle(AttemptProgress{Request: heard.id, Kind: ProgressFraction, Amount: 0.4})
	h.advance(400 * ms)
	var cancels []Action
	for _, a := range h.actions {
		if _, ok := a.(CancelAttempt); ok {
			cancels = append(cancels, a)
		}
	}
	if !reflect.DeepEqual(cancels, []Action{CancelAttempt{Request: silent.id}}) {
		t.Fatalf("cancelled %v, want only the silent one", cancels)
	}
	e := h.controller.endpoints.byID[silent.engines[0]]
	if e.health.currentFailureShare(h.controller.env) < 0.25 {
		t.Errorf("failing share %v of a silent engine", e.health.currentFailureShare(h.controller.env))
	}
}

// A request that two engines answered with an error is failed: it guards the engines' good names, and their time,
// against requests that no engine can use.
func TestRepeatedEngineErrorsFailRequest(t *testing.T) {
	config := twoClassConfig()
	config.MaxAttempts = 5
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(4)...)
	client := h.arrive("quick", "")
	h.endLatest(client, EngineFailed)
	if len(client.engines) != 2 {
		t.Fatalf("%d attempts after one error", len(client.engines))
	}
	before := len(h.actions)
	h.endLatest(client, EngineFailed)
	if len(client.engines) != 2 || client.answers != 1 || !slices.Contains(h.actions[before:], Action(FailRequest{Request: client.id})) {
		t.Errorf("%d attempts, %d answers, %v", len(client.engines), client.answers, h.actions[before:])
	}
}

func TestPreferredClassHasPriority(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(3)...)
	h.arrive("quick", "")
	h.arrive("big", "")
	var got []int
	for _, a := range h.actions {
		if terms, ok := a.(SetResources); ok {
			got = append(got, terms.Priority)
		}
	}
	if !reflect.DeepEqual(got, []int{2, 0}) {
		t.Errorf("priorities %v, want 2 for the shortest aim and 0 for the other", got)
	}
}
