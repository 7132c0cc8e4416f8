package dispatch

import (
	"time"

	"windflow/internal/decide/quota"
)

const (
	// quotaSlack is the factor by which a tenant may exceed its quota at this router, as the traffic of each tenant is
	// spread unevenly over the routers.
	quotaSlack = 1.2
	// trafficDecayTime is the time over which this router's traffic is averaged. It is longer than a burst and shorter
	// than a lasting change of the traffic.
	trafficDecayTime = 30 * time.Second
	// minTrafficShare is the minimum share of all traffic that this router assumes, relative to an even share.
	minTrafficShare = 1.0 / 5
)

// tenant holds the quota of a tenant and the unused part of it.
type tenant struct {
	quota  float64 // requests per second over all routers
	bucket quota.Bucket
}

// tenantQuotas determines which requests exceed the quota of their tenant.
type tenantQuotas struct {
	env       *environment
	tenants   map[string]*tenant
	total     float64 // sum of the quotas of all tenants
	rate      float64 // arrivals per second at this router, decaying
	rateAt    time.Duration
	startedAt time.Duration
}

func newTenantQuotas(env *environment) *tenantQuotas {
	q := &tenantQuotas{env: env}
	q.configure()
	return q
}

// configure applies the configured tenants. A known tenant keeps the unused part of its quota.
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

// start begins the measurement of traffic.
func (q *tenantQuotas) start() { q.startedAt, q.rateAt = q.env.now, q.env.now }

// tenant returns the tenant of that name, or nil if it is unknown.
func (q *tenantQuotas) tenant(name string) *tenant { return q.tenants[name] }

func (q *tenantQuotas) recordArrival() {
	q.rate = q.rate*q.env.decay(q.rateAt, trafficDecayTime) + 1/trafficDecayTime.Seconds()
	q.rateAt = q.env.now
}

// exceeded counts a request of a tenant and reports whether it exceeds the part of the tenant's quota for this
// router, which follows the router's share of the traffic.
func (q *tenantQuotas) exceeded(t *tenant) bool {
	if t == nil || t.quota <= 0 {
		return false
	}
	return !t.bucket.Take(t.quota*q.trafficShare()*quotaSlack, q.env.nowMS())
}

// trafficShare returns this router's share of all traffic, relative to the sum of all quotas. In overload it exceeds
// an even share, so it must not be used for values that have to add up over all routers.
func (q *tenantQuotas) trafficShare() float64 {
	even := q.env.fleetShare()
	if q.total <= 0 {
		return even
	}
	observed := 1 - q.env.decay(q.startedAt-time.Second, trafficDecayTime)
	usual := (q.rate + even*q.total/trafficDecayTime.Seconds()) / observed
	return min(max(usual/q.total, even*minTrafficShare), 1)
}
