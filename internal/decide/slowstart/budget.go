package slowstart

import "math"

// Budget is one router's part of a rate. A new Budget receives nothing until SetRate.
type Budget struct {
	rate        Rate
	fractionAt  float64 // up to when the fraction has been computed
	fraction    float64 // of the next quantum that has accumulated by then, from 0 to 1
	nextDue     float64 // when the next quantum is due
	lastDue     float64 // when the last quantum was
	hasReceived bool    // there was one
}

// NewBudget returns the budget of a router from a time on. Routers are numbered from 0; all use the same salt, from 0
// to 1, for the same engine: it makes the quanta of other engines begin with another router.
func NewBudget(router, routers int, salt, now float64) Budget {
	_, fraction := math.Modf(float64(router)/float64(max(routers, 1)) + salt)
	return Budget{fraction: math.Abs(fraction), fractionAt: now, nextDue: math.Inf(1)}
}

// SetRate changes the rate from a time on. What has accumulated at the previous rate stays.
func (b *Budget) SetRate(rate Rate, now float64) {
	b.advance(now)
	if now > b.fractionAt {
		b.fraction = min(b.fraction+b.rate.integral(b.fractionAt, now), 1)
		b.fractionAt = now
	}
	b.rate = rate
	b.nextDue = rate.dueAt(b.fractionAt, 1-b.fraction)
}

// NextDue returns when the next quantum is due: infinity for never.
func (b *Budget) NextDue() float64 { return b.nextDue }

// Available returns since when the router has had its present quantum; ok is false if that is older than maxAge, or if
// there was none. Of several that accrued since the previous call only the last one counts: a router that was idle
// gets no burst.
func (b *Budget) Available(now, maxAge float64) (since float64, ok bool) {
	b.advance(now)
	return b.lastDue, b.hasReceived && now-b.lastDue <= maxAge
}

// advance receives what has come due up to now.
func (b *Budget) advance(now float64) {
	if now < b.nextDue {
		return
	}
	b.lastDue, b.hasReceived = b.nextDue, true
	// All but the last of several have expired; they are skipped at once, since there may be many.
	if more := math.Floor(b.rate.integral(b.nextDue, now)); more >= 1 {
		b.lastDue = min(b.rate.dueAt(b.nextDue, more), now)
	}
	b.fractionAt, b.fraction = b.lastDue, 0
	b.nextDue = max(b.rate.dueAt(b.lastDue, 1), math.Nextafter(now, math.Inf(1)))
}
