package dispatch

import (
	"testing"
	"time"
)

// When the process ends, every request has its answer before.
func TestShutdownDeadlineEndsRequests(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(1)...)
	running := h.arrive("big", "")
	var held []*clientRequest
	for range 40 {
		held = append(held, h.arrive("big", ""))
	}
	h.handle(ShutdownDeadline{At: h.now + 2*time.Second})
	h.advance(2*time.Second + 10*ms)
	if running.answers != 1 {
		t.Error("a running request got no answer")
	}
	for _, client := range held {
		if client.answers != 1 {
			t.Fatal("a held request got no answer")
		}
	}
}

// An arrival with no time left gets its answer in the call that brings it.
func TestExpiredArrivalIsAnsweredAtOnce(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(2)...)
	if client := h.arriveWith(Arrival{Class: "big"}); client.answers != 1 || len(h.starts) != 0 {
		t.Errorf("answers %d, sends %d", client.answers, len(h.starts))
	}
}

func TestRequestEndsWithoutEngines(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	client := h.arrive("big", "")
	h.advance(20 * time.Second)
	if client.answers != 1 {
		t.Errorf("%d answers with no engine", client.answers)
	}
}
