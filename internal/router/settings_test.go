package router

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
)

// A changed configuration applies at once, here to the number of attempts of an open request, to the tenants and to the
// latency objective. A changed list of classes can't be applied while the router runs, and classes are kept.
func TestConfigure(t *testing.T) {
	h := newHarness(t)
	cfg := dispatch.Config{
		Routers: 1, Tick: 5 * time.Millisecond, MaxAttempts: 1, Tenants: []dispatch.Tenant{{Name: "north"}},
		Classes: []dispatch.Class{
			{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1},
			{
				Name: "load", LatencyObjective: 2 * time.Second, Deadline: 25 * time.Second, Threads: 2,
				Semantics: dispatch.AtMostOnce,
			},
		},
	}
	handler, _ := h.submit("lookup", 3000, 0)
	if unchanged, err := h.core.Configure(cfg); err != nil || len(unchanged) > 0 {
		t.Fatal(unchanged, err)
	}
	h.endAttempt(0, End{Outcome: dispatch.EngineFull})
	h.advance(400)
	if diff := cmp.Diff([]string{"rejected 0"}, handler.answers); diff != "" || len(h.client.calls) != 1 {
		t.Errorf("%d calls, want 1; answers, want -, got +\n%s", len(h.client.calls), diff)
	}
	if err := h.core.CheckNames(&Request{Class: "load", Tenant: "south"}); err == nil {
		t.Error("a tenant that is not in the new configuration was accepted")
	}
	if class, _ := h.core.Class("load"); class.LatencyObjective != 2*time.Second {
		t.Errorf("latency objective %v, want 2s", class.LatencyObjective)
	}
	cfg.Classes = cfg.Classes[:1]
	if unchanged, err := h.core.Configure(cfg); err != nil || len(unchanged) != 1 || unchanged[0] != "classes" {
		t.Error(unchanged, err)
	}
	if _, ok := h.core.Class("load"); !ok {
		t.Error("a class that is missing in the new configuration was removed")
	}
	cfg.Classes = nil
	if _, err := h.core.Configure(cfg); err == nil {
		t.Error("a configuration without classes was accepted")
	}
}
