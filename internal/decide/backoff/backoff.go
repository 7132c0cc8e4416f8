// Package backoff decides how long to keep off what did not answer: a machine, or a group of them that one fault may have cut
// off. Each strike in a row doubles the rest, up to a bound; an answer ends it. It guards against many parties that each try
// what is gone a little, which is a storm in sum, and against each of them finding machine by machine that a whole zone is gone.
//
// There is no clock in here, and no chance: times are handed in, in milliseconds, and so is the jitter.
package backoff

// Policy say how long rests are, in milliseconds: the first one, and the longest.
type Policy struct{ Initial, Max float64 }

// Backoff is that of one machine. The zero Rest is none.
type Backoff struct {
	row  int // strikes since the last answer
	till float64
}

// RecordFailure notes that a try met no answer. Jitter, about 1, spreads the ends of what began together.
func (r *Backoff) RecordFailure(now, jitter float64, t Policy) {
	length := t.Initial
	for range min(r.row, 32) {
		length = min(2*length, t.Max)
	}
	r.row++
	r.till = now + jitter*min(length, t.Max)
}

// RecordSuccess ends the rest.
func (r *Backoff) RecordSuccess() { *r = Backoff{} }

// Active tells whether the rest lasts.
func (r *Backoff) Active(now float64) bool { return now < r.till }

// ZoneBackoff pools strikes of machines that a fault may cut off together. It rests once enough of them in a row had a strike, one
// after another, with no answer from any between: the same one again tells nothing of the others.
type ZoneBackoff struct {
	rest Backoff
	row  int
	last int64
	due  float64 // from when on a strike counts again
}

// RecordFailure notes that a try of a member met no answer; enough is how many different ones in a row make the group rest.
func (g *ZoneBackoff) RecordFailure(member int64, enough int, now, jitter float64, t Policy) {
	if g.row == 0 || member != g.last {
		g.row, g.last = g.row+1, member
	}
	if g.row >= enough && now >= g.due { // what was under way when it began to rest is no further try
		g.due = now + t.Initial
		g.rest.RecordFailure(now, jitter, t)
	}
}

// RecordAttempt notes that a member is tried. While the group is in doubt, it rests meanwhile: one try at a time tells enough.
func (g *ZoneBackoff) RecordAttempt(now float64, t Policy) {
	if g.rest.row > 0 {
		g.rest.till = max(g.rest.till, now+t.Initial)
	}
}

// RecordSuccess ends the rest of the group: a member answered.
func (g *ZoneBackoff) RecordSuccess() { *g = ZoneBackoff{} }

// Active tells whether the group rests.
func (g *ZoneBackoff) Active(now float64) bool { return g.rest.Active(now) }

// Suspect tells whether the group rested and no member answered since.
func (g *ZoneBackoff) Suspect() bool { return g.rest.row > 0 }
