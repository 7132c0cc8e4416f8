package dispatch

import (
	"math"
	"testing"
	"time"
)

// Where no notes tell of spilling, grants follow the need that answers tell. It guards against taking the
// absence of notes for proof that less would do: grants then fell to 0.3 of the estimate, and 0.4 to 0.8 of
// all queries spilled.
func TestGrantFollowsNeed(t *testing.T) {
	for _, k := range []struct{ needOverEstimate, want float64 }{{1, 1}, {1.5, 1.5}, {0.7, 0.7}, {0, 1}} {
		h := newHarness(t, twoClassConfig())
		h.updateEndpoints(ListComplete, testEngines(3)...)
		for range 400 {
			client := h.arriveWith(Arrival{
				Class: "quick", Estimate: 100 * ms, NeedMB: 100,
				TimeLeft: 3 * time.Second,
			})
			h.now += 100 * ms
			client.answers = 1
			h.handle(AttemptEnd{Request: client.id, Outcome: Served, Last: true, NeedMB: 100 * k.needOverEstimate})
			client.outcomes[0] = Served
		}
		got := 0.0
		for _, a := range h.actions {
			if terms, ok := a.(SetResources); ok {
				got = terms.GrantMB / 100 / grantHeadroom
			}
		}
		if math.Abs(got-k.want) > 0.05 {
			t.Errorf("need %v times the estimate: granted %v of it before the room, want %v", k.needOverEstimate,
				got, k.want)
		}
	}
}

// A class whose answers were slow in a jam is tried again when none comes for a while.
func TestSlowMeanDecays(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	cl := h.controller.classes.all[1]
	cl.estimate.best, cl.estimate.mean, cl.estimate.observedAt, h.controller.env.now = 1, 10, h.now, h.now
	before := cl.estimate.current(h.controller.env)
	h.controller.env.now += 4 * evidenceLife
	if after := cl.estimate.current(h.controller.env); before != 10 || after > 1.5 {
		t.Errorf("mean %v, later %v", before, after)
	}
}

// A wild estimate neither moves a class's mean by much nor waits for memory that no engine gives; groups of tables
// that are named once are not remembered for good.
func TestWildEstimatesAreBounded(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(4)...)
	for range 50 {
		h.endLatest(h.arriveWith(Arrival{Class: "quick", Estimate: 100 * ms, NeedMB: 10, TimeLeft: 3 * time.Second}), Served)
	}
	wild := h.arriveWith(Arrival{Class: "quick", Estimate: 1000 * time.Hour, NeedMB: 1e9, TimeLeft: 3 * time.Second})
	if mean := h.controller.classes.all[0].estimate.clientEstimate; mean > 0.5 {
		t.Errorf("the mean estimate rose to %v s", mean)
	}
	if got, most := h.controller.capacity.wantedGrant(h.controller.requests.byID[wild.id]), 8192*h.config.MaxGrantShare; got != most {
		t.Errorf("%v MB are wanted, want %v", got, most)
	}
	for i := range 3 * maxAffinities {
		h.endLatest(h.arriveWith(Arrival{Class: "quick", TableGroup: int64(i + 1), TimeLeft: 3 * time.Second}), Served)
	}
	if n := len(h.controller.selector.affinities); n > maxAffinities {
		t.Errorf("%d groups are remembered", n)
	}
}
