package dispatch

import (
	"testing"
	"time"
)

// An arrival without time left is answered while its event is handled.
func TestExpiredArrivalIsAnsweredAtOnce(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(2)...)
	if client := h.arriveWith(Arrival{Class: "big"}); client.answers != 1 || len(h.starts) != 0 {
		t.Errorf("%d answers and %d attempts, want 1 and 0", client.answers, len(h.starts))
	}
}

func TestRequestEndsWithoutEngines(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	client := h.arrive("big", "")
	h.advance(20 * time.Second)
	if client.answers != 1 {
		t.Errorf("%d answers without engines, want 1", client.answers)
	}
}

// Every request has been answered when the process ends.
func TestShutdownDeadlineEndsRequests(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(1)...)
	running := h.arrive("big", "")
	var queued []*clientRequest
	for range 40 {
		queued = append(queued, h.arrive("big", ""))
	}
	h.handle(ShutdownDeadline{At: h.now + 2*time.Second})
	h.advance(2*time.Second + 10*ms)
	if running.answers != 1 {
		t.Error("the running request got no answer")
	}
	for _, client := range queued {
		if client.answers != 1 {
			t.Fatal("a queued request got no answer")
		}
	}
}
