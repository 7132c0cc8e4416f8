package dispatch

import (
	"time"

	"windflow/internal/decide/quota"
)

const (
	// quotaSlack is how far a tenant may exceed its quota at this router: routers see uneven parts of each tenant.
	quotaSlack = 1.2
	// trafficLife is the time over which this router's traffic is averaged: longer than bursts, shorter than a shift.
	trafficDecayTime = 30 * time.Second
	// minTrafficShare is the least share of all traffic that this router counts on, over an even share.
	minTrafficShare = 1.0 / 5
)

// tenant is a customer with its quota and what is left of it.
type tenant struct {
	quota  float64 // requests a second over all routers
	bucket quota.Bucket
}

// tenantQuotas tells which requests are over their tenant's quota.
type tenantQuotas struct {
	env       *environment
	tenants   map[string]*tenant
	total     float64 // quota of all tenants
	rate      float64 // this router's arrivals a second, decaying
	rateAt    time.Duration
	startedAt time.Duration
}

func newTenantQuotas(env *environment) *tenantQuotas {
	q := &tenantQuotas{env: env}
	q.configure()
	return q
}

// configure takes the tenants of the settings; what was left of a known tenant's quota stays.
func (q *tenantQuotas) configure() {
	known := q.tenants
	q.tenants, q.total = map[string]*tenant{}, 0
	for _, settings := range q.env.config.Tenants {
		t := known[settings.Name]
		if t == nil {
			t = &tenant{}
		}
		t.quota = settings.Quota
		q.tenants[settings.Name] = t
		q.total += settings.Quota
	}
}

// start starts the measurement of traffic.
func (q *tenantQuotas) start() { q.startedAt, q.rateAt = q.env.now, q.env.now }

// tenant returns a tenant, or nil for an unknown one.
func (q *tenantQuotas) tenant(name string) *tenant { return q.tenants[name] }

func (q *tenantQuotas) recordArrival() {
	q.rate = q.rate*q.env.decay(q.rateAt, trafficDecayTime) + 1/trafficDecayTime.Seconds()
	q.rateAt = q.env.now
}

// exceeded counts a request of a tenant and tells whether it is over the tenant's share of this router's usual traffic.
func (q *tenantQuotas) exceeded(t *tenant) bool {
	if t == nil || t.quota <= 0 {
		return false
	}
	return !t.bucket.Take(t.quota*q.trafficShare()*quotaSlack, q.env.nowMS())
}

// trafficShare is this router's share of all traffic, by the quotas of all tenants. It passes an even share in
// overload, so nothing that adds up over all routers may depend on it.
func (q *tenantQuotas) trafficShare() float64 {
	even := q.env.fleetShare()
	if q.total <= 0 {
		return even
	}
	observed := 1 - q.env.decay(q.startedAt-time.Second, trafficDecayTime)
	usual := (q.rate + even*q.total/trafficDecayTime.Seconds()) / observed
	return min(max(usual/q.total, even*minTrafficShare), 1)
}
