package dispatch

import (
	"testing"
	"time"
)

func TestKeyCooldownAfterUnclearOutcome(t *testing.T) {
	config := twoClassConfig()
	config.Classes[0].OrderByKey, config.Classes[0].Deadline, config.KeyCooldown = true, 10*time.Second, time.Second
	config.Classes[0].LateWeightShare = 0.5
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(3)...)
	a, b := h.arrive("quick", "t"), h.arrive("quick", "t")
	other := h.arrive("quick", "u")
	if len(a.engines) != 1 || len(b.engines) != 0 || len(other.engines) != 1 {
		t.Fatal("one key must run one at a time, others freely")
	}
	h.handle(ClientGone{Request: a.id})
	a.gone = true
	h.endLatest(a, ConnectionReset)
	h.advance(900 * ms)
	if len(b.engines) != 0 {
		t.Fatal("sent during the rest")
	}
	h.advance(200 * ms)
	if len(b.engines) != 1 {
		t.Error("not sent after the rest")
	}
}
