package dispatch

import (
	"testing"
	"time"
)

func TestPollingBacksOffAfterFailure(t *testing.T) {
	config := twoClassConfig()
	config.PolledDiscovery, config.DiscoveryTimeout = true, 10*time.Second
	h := newHarness(t, config)
	h.updateEndpoints(ListCached, testEngines(2)...)
	count := func() (n int) {
		for _, a := range h.actions {
			if _, ok := a.(Subscribe); ok {
				n++
			}
		}
		return n
	}
	if count() != 1 {
		t.Fatal("no subscription at start")
	}
	h.updateEndpoints(ListFailed)
	if count() != 1 {
		t.Fatal("asked again at once")
	}
	h.advance(3 * time.Second)
	if count() != 2 {
		t.Errorf("%d subscriptions after a failure, want 2", count())
	}
}
