package backoff

import "testing"

func TestRestsDoubleAndEnd(t *testing.T) {
	var r Backoff
	terms := Policy{Initial: 250, Max: 1500}
	now := 1000.0
	for i, want := range []float64{250, 500, 1000, 1500, 1500} {
		r.RecordFailure(now, 1, terms)
		if !r.Active(now+want-1) || r.Active(now+want) {
			t.Errorf("strike %d: rests till %v, want %v", i, r.until, now+want)
		}
		now += want
	}
	r.RecordFailure(now, 0.5, terms)
	if r.Active(now+750) || !r.Active(now+749) {
		t.Error("jitter is not heeded:", r.until-now)
	}
	r.RecordSuccess()
	if r.Active(now) {
		t.Error("it rests after an answer")
	}
	if r.RecordFailure(now, 1, terms); r.Active(now + 250) {
		t.Error("after an answer, rests do not begin anew")
	}
}

// A group rests once several members in a row gave no answer; one that strikes again and again, or an answer between, says
// nothing of the others. Strikes of what was under way do not lengthen a rest that has just begun.
func TestGroup(t *testing.T) {
	terms := Policy{Initial: 250, Max: 2000}
	strikes := func(members ...int64) *ZoneBackoff {
		g := &ZoneBackoff{}
		for _, m := range members {
			if m < 0 {
				g.RecordSuccess()
				continue
			}
			g.RecordFailure(m, 3, 0, 1, terms)
		}
		return g
	}
	for _, k := range []struct {
		members []int64
		rests   bool
	}{{[]int64{1, 2}, false}, {[]int64{1, 1, 1, 1}, false}, {[]int64{1, 2, 3}, true}, {[]int64{1, 2, 1}, true}, {[]int64{1, 2, -1, 3, 4}, false}, {[]int64{1, 2, 3, -1}, false}} {
		if g := strikes(k.members...); g.Active(100) != k.rests {
			t.Errorf("%v: rests %v, want %v", k.members, g.Active(100), k.rests)
		}
	}
	g := strikes(1, 2, 3, 4, 5)
	if g.Active(250) {
		t.Error("strikes of what was under way lengthened the rest")
	}
	g.RecordAttempt(260, terms)
	if !g.Active(300) || g.Active(510) {
		t.Error("while one is tried, others are not kept off")
	}
	g.RecordFailure(6, 3, 300, 1, terms)
	if !g.Active(799) || g.Active(800) {
		t.Error("the second rest is not twice as long")
	}
	if g.RecordSuccess(); g.Active(300) {
		t.Error("it rests after an answer")
	}
	if g.RecordAttempt(300, terms); g.Active(300) {
		t.Error("a group that is not in doubt rests for a try")
	}
}

// A group is in doubt from its first rest until a member answers, also while it does not rest.
func TestGroupDoubted(t *testing.T) {
	var g ZoneBackoff
	g.RecordFailure(1, 2, 0, 1, Policy{Initial: 100, Max: 400})
	if g.Suspect() {
		t.Error("in doubt after one strike of two")
	}
	g.RecordFailure(2, 2, 10, 1, Policy{Initial: 100, Max: 400})
	if !g.Suspect() || g.Active(1000) || !g.Suspect() {
		t.Error("not in doubt after its rest")
	}
	if g.RecordSuccess(); g.Suspect() {
		t.Error("in doubt after an answer")
	}
}
