package dispatch

import (
	"testing"
	"time"
)

// A crash while the list is silent: own outcomes tell of it, and the engine is cold when it answers again.
func TestCrashDuringDiscoveryOutage(t *testing.T) {
	config := twoClassConfig()
	config.WarmUpInitialShare, config.WarmUpDuration, config.WarmUpOverloadFactor, config.WarmUpOverloadWindow = 0.4, 10*time.Second, 2, time.Second
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(3)...)
	client := h.arrive("quick", "")
	dead := client.engines[0]
	h.endLatest(client, ConnectionReset)
	if len(client.engines) != 2 || client.engines[1] == dead {
		t.Fatalf("not run elsewhere: %v", client.engines)
	}
	h.endLatest(client, Served)
	e := h.controller.endpoints.byID[dead]
	// Six at a time, so that the others have work and it is looked at.
	six := func(down bool) (tries int) {
		h.advance(20 * ms)
		var open []*clientRequest
		for range 6 {
			open = append(open, h.arriveWith(Arrival{Class: "quick", TableGroup: int64(h.lastID), TimeLeft: 3 * time.Second}))
		}
		for len(open) > 0 {
			client := open[0]
			open = open[1:]
			if down && client.engines[len(client.engines)-1] == dead {
				tries++
				h.endLatest(client, ConnectFailed)
				open = append(open, client)
			} else {
				h.endLatest(client, Served)
			}
		}
		return tries
	}
	tries := 0
	for range 400 {
		tries += six(true)
	}
	if most := maxConnectionFailures + int(400*20*ms/(2*fullBackoff)) + 1; e.health.connectionFailures < maxConnectionFailures || tries > most {
		t.Fatalf("%d attempts were lost in a row; it was tried %d times, at most %d are wanted", e.health.connectionFailures, tries, most)
	}
	for range 400 {
		six(false)
		if e.health.connectionFailures == 0 {
			break
		}
	}
	if e.health.connectionFailures > 0 || h.now >= e.warmUp.end {
		t.Error("it came back and is not treated as cold")
	}
}

// An engine that turns queries away fast must not draw the rest.
func TestFullEngineIsBackedOffFrom(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(1)...)
	client := h.arrive("quick", "")
	h.endLatest(client, EngineFull)
	if len(client.engines) != 1 {
		t.Fatal("sent again to an engine that was full a moment ago")
	}
	h.advance(fullBackoff + 50*ms)
	if len(client.engines) != 2 {
		t.Error("not tried again after the rest")
	}
}
