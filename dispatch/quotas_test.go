package dispatch

import (
	"math"
	"testing"
	"time"
)

// newTestQuotas returns the quotas of the given tenants on one of two routers, at time one hour.
func newTestQuotas(tenants ...Tenant) *tenantQuotas {
	env := &environment{now: time.Hour, config: Config{Routers: 2, Tenants: tenants}}
	q := newTenantQuotas(env)
	q.start()
	return q
}

// The router's share of all traffic is an even share at first, and follows its arrivals within limits.
func TestTrafficShareFollowsArrivals(t *testing.T) {
	for _, test := range []struct {
		name     string
		quota    float64 // sum over all tenants
		arrivals float64 // per second, for two minutes
		want     float64
	}{
		{"without quotas", 0, 100, 0.5},
		{"no traffic", 10, 0, 0.5 * minTrafficShare},
		{"a quarter of the quotas", 10, 2.5, 0.25},
		{"half of the quotas", 10, 5, 0.5},
		{"overload", 10, 100, 1},
	} {
		q := newTestQuotas(Tenant{Name: "a", Quota: test.quota})
		interval := time.Duration(math.MaxInt64)
		if test.arrivals > 0 {
			interval = seconds(1 / test.arrivals)
		}
		for end := q.env.now + 2*time.Minute; q.env.now < end; {
			step := min(interval, end-q.env.now)
			q.env.now += step
			if step == interval {
				q.recordArrival()
			}
		}
		if got := q.trafficShare(); math.Abs(got-test.want) > 0.03 {
			t.Errorf("%s: traffic share is %.3f, want %.3f", test.name, got, test.want)
		}
	}
}

// Requests of a tenant without a quota, or of an unknown tenant, are never over quota. Those of a tenant with a quota
// are once its burst is used up, and a changed quota does not grant a new burst.
func TestTenantQuotas(t *testing.T) {
	q := newTestQuotas(Tenant{Name: "a", Quota: 1}, Tenant{Name: "none"})
	exceeded := func(name string) (n int) {
		for range 100 {
			if q.exceeded(q.tenant(name)) {
				n++
			}
		}
		return n
	}
	for name, want := range map[string]bool{"a": true, "none": false, "unknown": false} {
		if got := exceeded(name); got > 0 != want {
			t.Errorf("%s: %d of 100 requests over quota", name, got)
		}
	}
	q.env.config.Tenants = []Tenant{{Name: "b", Quota: 1}, {Name: "a", Quota: 2}}
	q.configure()
	if got := exceeded("a"); got != 100 {
		t.Errorf("%d of 100 requests over quota after a change of the quota, want all", got)
	}
	if q.total != 3 {
		t.Errorf("sum of quotas is %v, want 3", q.total)
	}
}

// Requests of a tenant over its quota are marked, requests of other tenants are not.
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
		t.Errorf("requests over quota by tenant: %v, want some for a and none for b", over)
	}
}
