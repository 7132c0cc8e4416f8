package router

import (
	"errors"
	"fmt"
	"testing"

	"windflow/dispatch"
)

// Requests that are open when the shutdown deadline is set, or submitted after that, are answered by that deadline. The
// dispatch module answers them, not the answer guard.
func TestShutdownDeadlineAnswersBeforeTheEnd(t *testing.T) {
	h := newHarness(t)
	load, _ := h.submit("load", 20_000, 0)
	h.loop.Post(func() { h.core.SetShutdownDeadline(h.clock.MS + 500) })
	lookup, _ := h.submit("lookup", 20_000, 0)
	h.advance(520)
	if len(load.answers) != 1 || len(lookup.answers) != 1 {
		t.Errorf("answers %v to the load, %v to the lookup; want one each", load.answers, lookup.answers)
	}
	if h.core.OpenRequests() != 0 || h.core.Counters.Overdue != 0 {
		t.Errorf("%d requests open, %d overdue; want none", h.core.OpenRequests(), h.core.Counters.Overdue)
	}
}

// During a hot restart, a process rejects an id that is open in the other process, or whose at-most-once request may
// have run there. Otherwise a client that uses the id again could make both processes run the request.
func TestIDsOfTheOtherProcess(t *testing.T) {
	predecessor, successor := newHarness(t), newHarness(t)
	forward := func(change IDChange) { successor.loop.Post(func() { successor.core.OtherProcessChanged(change) }) }
	predecessor.submit("load", 20_000, 0) // id 1
	predecessor.loop.Post(func() {
		state := predecessor.core.State()
		predecessor.core.OnIDChange = forward
		successor.loop.Post(func() { successor.core.RestoreState(state) })
	})
	predecessor.runLoop()
	predecessor.submit("lookup", 20_000, 0) // id 2
	inUse := func(id int) (inUse bool) {
		successor.loop.Post(func() {
			_, err := successor.core.Submit(&Request{
				ID: fmt.Sprintf("%016x", id), Class: "lookup", Statement: "S",
				SentAtMS: successor.clock.MS, BudgetMS: 3000,
			}, &recordingHandler{})
			inUse = errors.Is(err, ErrIDInUse)
		})
		successor.runLoop()
		return inUse
	}
	if !inUse(1) || !inUse(2) || inUse(3) {
		t.Error("an id that is open in the other process was accepted, or a new id was rejected")
	}
	predecessor.endAttempt(1, End{Outcome: dispatch.Served, Result: &Result{}})
	predecessor.endAttempt(0, End{Outcome: dispatch.ConnectionReset})
	if inUse(2) || !inUse(1) {
		t.Error("the id of an answered lookup was rejected, or the id of a load that may have run was accepted")
	}
	successor.loop.Post(successor.core.OtherProcessEnded)
	if !inUse(1) {
		t.Error("after the other process ended, the id of a load that may have run there was accepted")
	}
}
