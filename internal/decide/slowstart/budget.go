// Package slowstart deals a flow, or a row of items, out to many parties that know nothing of each other. Of a flow, each
// one's part may be too small to be of use: a three-hundredth of what a cold engine may be sent in a second is less than one
// query. A part adds up until it is worth a whole chunk, which the party may spend for a while; what is left then is void.
//
// Parties begin at points of their first chunk that lie evenly between nothing and a whole one. So what all of them are
// given in any span of time is the flow in that span, give or take a chunk, and it comes evenly. One that starts anew
// or hears late begins at its point again: it gets no more than the flow is worth, and no burst.
//
// A flow may change over time, as that of a cold engine does while it warms up. A chunk is due when the flow since the last
// one sums up to it, however often anybody asks: so the few rations out of many that are due can be found by their times.
//
// There is no clock in here, and no chance: times are handed in, in milliseconds on any clock that does not go back.
package slowstart

import "math"

// Budget is one party's part of a flow. It begins with Start, and has nothing until it is told its flow.
type Budget struct {
	flow  Rate
	from  float64 // up to when it is reckoned
	part  float64 // of the next chunk, from 0 to 1, by then
	next  float64 // when that chunk is due
	given float64 // when the last chunk was
	any   bool    // whether there was one
}

// NewBudget gives the ration of a party from a time on. Parties are numbered from 0; those of one flow share a salt from 0 to 1,
// which has other flows begin with another party.
func NewBudget(party, parties int, salt, at float64) Budget {
	_, part := math.Modf(float64(party)/float64(max(parties, 1)) + salt)
	return Budget{part: math.Abs(part), from: at, next: math.Inf(1)}
}

// SetRate has the ration come by a flow from a time on. What came due until then by the former flow stays.
func (r *Budget) SetRate(by Rate, now float64) {
	r.reckon(now)
	if now > r.from {
		r.part = min(r.part+r.flow.sum(r.from, now), 1)
		r.from = now
	}
	r.flow = by
	r.next = by.when(r.from, 1-r.part)
}

// NextDue tells when the next chunk is due, however often the ration is asked until then; infinite for never.
func (r *Budget) NextDue() float64 { return r.next }

// Available tells since when the party has had the chunk that it may spend. It has none if the last one is older than life.
// Several that came due since it last asked are one: a party that did not ask for long is owed no burst.
func (r *Budget) Available(now, life float64) (since float64, ok bool) {
	r.reckon(now)
	return r.given, r.any && now-r.given <= life
}

// reckon takes what has come due up to now.
func (r *Budget) reckon(now float64) {
	if now < r.next {
		return
	}
	r.given, r.any = r.next, true
	// All but the last of several are void, and need not be looked at one by one: a flow may be fast.
	if more := math.Floor(r.flow.sum(r.next, now)); more >= 1 {
		r.given = min(r.flow.when(r.next, more), now)
	}
	r.from, r.part = r.given, 0
	r.next = max(r.flow.when(r.given, 1), math.Nextafter(now, math.Inf(1)))
}
