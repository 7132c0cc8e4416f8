package slowstart

import "math"

// Budget is the share of one router in a rate of quanta. A new Budget receives nothing until SetRate is called.
type Budget struct {
	rate        Rate
	fractionAt  float64 // time up to which fraction is computed
	fraction    float64 // part of the next quantum that has accumulated by then, from 0 to 1
	nextDue     float64 // when the next quantum is due
	lastDue     float64 // when the last quantum was due
	hasReceived bool    // whether a quantum has been received
}

// NewBudget returns the budget of a router, starting at the time now. Routers are numbered from 0. All routers use the
// same salt, from 0 to 1, for the same engine; with a different salt for each engine, the first quantum of each engine
// goes to a different router.
func NewBudget(router, routers int, salt, now float64) Budget {
	_, fraction := math.Modf(float64(router)/float64(max(routers, 1)) + salt)
	return Budget{fraction: math.Abs(fraction), fractionAt: now, nextDue: math.Inf(1)}
}

// SetRate changes the rate from the time now. What has accumulated at the previous rate is kept.
func (b *Budget) SetRate(rate Rate, now float64) {
	b.advance(now)
	if now > b.fractionAt {
		b.fraction = min(b.fraction+b.rate.integral(b.fractionAt, now), 1)
		b.fractionAt = now
	}
	b.rate = rate
	b.nextDue = rate.dueAt(b.fractionAt, 1-b.fraction)
}

// NextDue returns when the next quantum is due; +Inf for never.
func (b *Budget) NextDue() float64 { return b.nextDue }

// Available returns when the current quantum was due. ok is false if that was more than maxAge ago, or if there was no
// quantum. If several quanta have come due since the previous call, only the last one counts, so that an idle router
// gets no burst.
func (b *Budget) Available(now, maxAge float64) (since float64, ok bool) {
	b.advance(now)
	return b.lastDue, b.hasReceived && now-b.lastDue <= maxAge
}

// advance receives the quanta that have come due by the time now.
func (b *Budget) advance(now float64) {
	if now < b.nextDue {
		return
	}
	b.lastDue, b.hasReceived = b.nextDue, true
	// Of several quanta all but the last have expired. They are skipped in one step, since there may be many.
	if more := math.Floor(b.rate.integral(b.nextDue, now)); more >= 1 {
		b.lastDue = min(b.rate.dueAt(b.nextDue, more), now)
	}
	b.fractionAt, b.fraction = b.lastDue, 0
	b.nextDue = max(b.rate.dueAt(b.lastDue, 1), math.Nextafter(now, math.Inf(1)))
}
