package router

import (
	"errors"
	"fmt"
	"testing"

	"windflow/dispatch"
)

// Open requests are answered by the shutdown deadline.
func TestShutdownDeadlineAnswersBeforeTheEnd(t *testing.T) {
	h := newHarness(t)
	load, _ := h.submit("load", 20_000, 0)
	h.loop.Post(func() { h.core.SetShutdownDeadline(h.clock.MS + 500) })
	lookup, _ := h.submit("lookup", 20_000, 0)
	h.advance(520)
	if len(load.answers) != 1 || len(lookup.answers) != 1 {
		t.Errorf("answers %v and %v", load.answers, lookup.answers)
	}
	if h.core.OpenRequests() != 0 || h.core.Counters.Overdue != 0 {
		t.Errorf("%d open, %d overdue", h.core.OpenRequests(), h.core.Counters.Overdue)
	}
}

// Two processes of one router know each other's ids: an id that is open in one, or whose request may have run there, is
// not accepted in the other.
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
		t.Error("an id that is open in the other process was accepted, or a new one was not")
	}
	predecessor.endAttempt(1, End{Outcome: dispatch.Served, Result: &Result{}})
	predecessor.endAttempt(0, End{Outcome: dispatch.ConnectionReset})
	if inUse(2) || !inUse(1) {
		t.Error("an id that is free again was not accepted, or that of a load that may have run was")
	}
	successor.loop.Post(successor.core.OtherProcessEnded)
	if !inUse(1) {
		t.Error("a load that may have run was forgotten with the other process")
	}
}
