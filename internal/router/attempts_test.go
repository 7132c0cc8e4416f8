package router

import (
	"testing"

	"windflow/dispatch"
)

// The engine client gets a CancelAttempt of the dispatch module once, even if it is repeated. The attempt ends at once
// or, if attempts are exclusive, only when the engine has canceled it: otherwise a further attempt could start while
// the engine still runs this one. An at-most-once request is never exclusive.
func TestCancelAttempt(t *testing.T) {
	exclusive := newHarness(t)
	exclusive.submit("lookup", 3000, 0)
	for range 2 {
		exclusive.loop.Post(func() { exclusive.core.execute(dispatch.CancelAttempt{Request: "1", Attempt: 0}) })
		exclusive.runLoop()
	}
	exclusive.advance(500)
	outcomes := &exclusive.core.Counters.Outcomes
	if len(exclusive.client.canceled) != 1 || outcomes[dispatch.Cancelled] != 0 {
		t.Errorf("exclusive: canceled %v, outcomes %v; want one cancel and no end", exclusive.client.canceled, *outcomes)
	}
	if calls := exclusive.client.calls; len(calls) != 1 || !calls[0].Exclusive {
		t.Errorf("calls %+v, want one exclusive call", calls)
	}
	load, _ := exclusive.submit("load", 3000, 0)
	exclusive.endAttempt(1, End{Outcome: dispatch.ConnectionReset})
	if exclusive.client.calls[1].Exclusive || len(load.answers) != 1 {
		t.Errorf("a load that may have run is not answered at once: call %+v, answers %v",
			exclusive.client.calls[1], load.answers)
	}
	exclusive.endAttempt(0, End{Outcome: dispatch.Cancelled})
	exclusive.advance(500)
	if outcomes[dispatch.Cancelled] != 1 || len(exclusive.client.calls) != 3 {
		t.Errorf("after the attempt's end: outcomes %v, %d calls; want one canceled, 3 calls", *outcomes,
			len(exclusive.client.calls))
	}
	hedging := newHarness(t, func(cfg *dispatch.Config) { cfg.HedgingAllowed = true })
	hedging.submit("lookup", 3000, 0)
	for range 2 {
		hedging.loop.Post(func() { hedging.core.execute(dispatch.CancelAttempt{Request: "1", Attempt: 0}) })
		hedging.runLoop()
	}
	if len(hedging.client.canceled) != 1 || hedging.core.Counters.Outcomes[dispatch.Cancelled] != 1 {
		t.Errorf("hedging: canceled %v, outcomes %v; want one cancel and its end", hedging.client.canceled,
			hedging.core.Counters.Outcomes)
	}
	for _, unknown := range []dispatch.CancelAttempt{{Request: "9"}, {Request: "1", Attempt: 5}} {
		hedging.core.execute(unknown)
	}
}
