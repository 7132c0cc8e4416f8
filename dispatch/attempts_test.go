package dispatch

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestPreferredClassHasPriority(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(3)...)
	h.arrive("quick", "")
	h.arrive("big", "")
	var got []int
	for _, action := range h.actions {
		if resources, ok := action.(SetResources); ok {
			got = append(got, resources.Priority)
		}
	}
	if !reflect.DeepEqual(got, []int{2, 0}) {
		t.Errorf("priorities are %v, want 2 for the class with the shortest latency objective and 0 for the other", got)
	}
}

// An attempt with a bad plan is cancelled if cancelling is allowed. After its end is reported, the request runs on
// another engine.
func TestBadPlanIsRerouted(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		config := twoClassConfig()
		config.CancelAllowed = allowed
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, testEngines(3)...)
		arrival := Arrival{Class: "big", Estimate: time.Second, TimeLeft: 15 * time.Second}
		for range 40 {
			client := h.arriveWith(arrival)
			h.now += 250 * ms
			h.endLatest(client, Served)
		}
		client := h.arriveWith(arrival)
		h.now += 500 * ms
		actions := h.handle(AttemptProgress{Request: client.id, Kind: ProgressFraction, Amount: 0.05})
		cancelled := reflect.DeepEqual(actions, []Action{CancelAttempt{Request: client.id, Attempt: 0}})
		if cancelled != allowed {
			t.Fatalf("cancelling allowed: %v, but the actions are %v", allowed, actions)
		}
		if !allowed {
			continue
		}
		h.endLatest(client, Cancelled)
		if len(client.engines) != 2 || client.engines[1] == client.engines[0] {
			t.Errorf("request ran on engines %v, want two different ones", client.engines)
		}
	}
}

// A silent attempt, as after a cut network link, is cancelled and counted as a failure of its engine.
func TestSilentAttemptIsRerouted(t *testing.T) {
	config := twoClassConfig()
	config.CancelAllowed, config.Features.ProgressInterval = true, 500*ms
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(3)...)
	silent, reporting := h.arrive("big", ""), h.arrive("big", "")
	h.advance(500 * ms)
	h.handle(AttemptProgress{Request: reporting.id, Kind: ProgressFraction, Amount: 0.4})
	h.advance(400 * ms)
	var cancelled []Action
	for _, action := range h.actions {
		if _, ok := action.(CancelAttempt); ok {
			cancelled = append(cancelled, action)
		}
	}
	if !reflect.DeepEqual(cancelled, []Action{CancelAttempt{Request: silent.id}}) {
		t.Fatalf("cancelled attempts are %v, want only the silent one", cancelled)
	}
	e := h.controller.endpoints.byID[silent.engines[0]]
	if share := e.health.currentFailureShare(h.controller.env); share < 0.25 {
		t.Errorf("failure share of the silent engine is %v, want at least 0.25", share)
	}
}

// A request that two engines answered with an error fails. Without this limit, a request that no engine can run would
// waste the engines' time and make healthy engines count as failing.
func TestRepeatedEngineErrorsFailRequest(t *testing.T) {
	config := twoClassConfig()
	config.MaxAttempts = 5
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(4)...)
	client := h.arrive("quick", "")
	h.endLatest(client, EngineFailed)
	if len(client.engines) != 2 {
		t.Fatalf("%d attempts after one error, want 2", len(client.engines))
	}
	before := len(h.actions)
	h.endLatest(client, EngineFailed)
	failed := slices.Contains(h.actions[before:], Action(FailRequest{Request: client.id}))
	if len(client.engines) != 2 || client.answers != 1 || !failed {
		t.Errorf("%d attempts and %d answers after two errors, want 2 and 1; actions %v",
			len(client.engines), client.answers, h.actions[before:])
	}
}
