package configlog

import (
	"cmp"
	"slices"
)

// Lease is a follower's latest word, and until when it counts as living, in milliseconds of the hearing keeper's clock.
type Lease struct {
	FollowerStatus
	UntilMS float64 `json:"until_ms"`
}

// seat is one process: a name can have two while the next takes over from the one before.
type seat struct{ name, instance string }

// Leases are the followers that one keeper hears. They are that keeper's alone and are lost with it, and so have to be
// whole before a verdict may rest on them: see Settled. All times are milliseconds of one clock that doesn't go back.
type Leases struct {
	length  float64
	seats   map[seat]Lease
	began   bool
	lastMS  float64 // the latest call
	wholeMS float64 // from here on, whoever lives has been heard
}

// NewLeases gives leases of that length in milliseconds.
func NewLeases(lengthMS float64) *Leases {
	return &Leases{length: lengthMS, seats: map[seat]Lease{}}
}

// Renew takes a follower's word and says whether it had no lease: then its name has to be in the roster before it's answered.
func (l *Leases) Renew(nowMS float64, r FollowerStatus) (first bool) {
	l.Tick(nowMS)
	key := seat{r.Name, r.Instance}
	old, known := l.seats[key]
	l.seats[key] = Lease{FollowerStatus: r, UntilMS: nowMS + l.length}
	return !known || old.UntilMS <= nowMS
}

// Live gives the leases that count, by name and instance, and forgets the others.
func (l *Leases) Live(nowMS float64) []Lease {
	l.Tick(nowMS)
	out := make([]Lease, 0, len(l.seats))
	for key, lease := range l.seats {
		if lease.UntilMS <= nowMS {
			delete(l.seats, key)
			continue
		}
		out = append(out, lease)
	}
	slices.SortFunc(out, func(a, b Lease) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}

// Tick says that the keeper runs. Some call has to come each quarter of a lease; a gap of more than a half is taken for a
// keeper that was stopped and woken, whose leases ran out with nobody's fault.
func (l *Leases) Tick(nowMS float64) {
	if !l.began || nowMS-l.lastMS > l.length/2 {
		l.began, l.wholeMS = true, nowMS+l.length
	}
	l.lastMS = max(l.lastMS, nowMS)
}

// IsComplete says whether each follower that lives and uses this keeper has had the time to be heard. Until then the keeper has
// to count as unreached in a verdict: it guards against 'everywhere' from one that has just started or woken.
func (l *Leases) IsComplete(nowMS float64) bool {
	l.Tick(nowMS)
	return nowMS >= l.wholeMS
}
