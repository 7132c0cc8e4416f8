package dispatch

import (
	"testing"
	"time"
)

// Requests of one key run in order. After an unclear outcome the next one waits for the cooldown, and a key without
// requests is forgotten.
func TestKeyOrder(t *testing.T) {
	env := &environment{now: time.Hour, config: Config{KeyCooldown: time.Second}}
	order := newKeyOrder(env)
	first := &request{key: "a", ordered: true}
	second := &request{key: "a", ordered: true}
	other := &request{key: "b", ordered: true}
	unordered := &request{key: "a"}
	for _, req := range []*request{first, second, other, unordered} {
		order.add(req)
	}
	check := func(when string, want map[*request]bool) {
		t.Helper()
		for req, blocked := range want {
			if got := order.blocks(req); got != blocked {
				t.Errorf("%s: request of key %s (ordered: %v): blocked: %v", when, req.key, req.ordered, got)
			}
		}
	}
	check("first come, first served", map[*request]bool{first: false, second: true, other: false, unordered: false})
	order.recordOutcome(first, EngineFailed)
	order.remove(first)
	check("after a clear outcome", map[*request]bool{second: false})
	order.recordOutcome(second, ConnectionReset)
	check("during the cooldown", map[*request]bool{second: true, other: false, unordered: false})
	second.attempts = append(second.attempts, &attempt{})
	check("a retry during the cooldown", map[*request]bool{second: false})
	order.remove(second)
	third := &request{key: "a", ordered: true}
	order.add(third)
	check("the next one during the cooldown", map[*request]bool{third: true})
	env.now += time.Second
	check("after the cooldown", map[*request]bool{third: false})
	order.remove(third)
	order.remove(other)
	if len(order.keys) != 0 {
		t.Errorf("%d keys remembered without requests, want 0", len(order.keys))
	}
}

func TestKeyCooldownAfterUnclearOutcome(t *testing.T) {
	config := twoClassConfig()
	config.Classes[0].OrderByKey, config.Classes[0].Deadline = true, 10*time.Second
	config.Classes[0].LateWeightShare = 0.5
	config.KeyCooldown = time.Second
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(3)...)
	first, second := h.arrive("quick", "t"), h.arrive("quick", "t")
	other := h.arrive("quick", "u")
	if len(first.engines) != 1 || len(second.engines) != 0 || len(other.engines) != 1 {
		t.Fatal("requests of one key must run one at a time, and other requests at any time")
	}
	h.handle(ClientGone{Request: first.id})
	first.gone = true
	h.endLatest(first, ConnectionReset)
	h.advance(900 * ms)
	if len(second.engines) != 0 {
		t.Fatal("started during the cooldown")
	}
	h.advance(200 * ms)
	if len(second.engines) != 1 {
		t.Error("not started after the cooldown")
	}
}
