package dispatch

import (
	"testing"
	"time"
)

// A tenant past its share stands aside, others don't.
func TestOverQuotaTenantIsMarked(t *testing.T) {
	config := twoClassConfig()
	config.Tenants = []Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 10}}
	h := newHarness(t, config)
	over := map[string]int{}
	for i := range 400 {
		h.now += 20 * ms
		tenant := "a"
		if i%10 == 0 {
			tenant = "b"
		}
		client := h.arriveWith(Arrival{Class: "big", Tenant: tenant, TimeLeft: 15 * time.Second})
		if h.controller.requests.byID[client.id].overQuota {
			over[tenant]++
		}
	}
	if over["a"] == 0 || over["b"] > 0 {
		t.Errorf("past their share: %v", over)
	}
}
