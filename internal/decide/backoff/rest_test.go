package backoff

import "testing"

func TestRestsDoubleAndEnd(t *testing.T) {
	var r Rest
	terms := Terms{First: 250, Most: 1500}
	now := 1000.0
	for i, want := range []float64{250, 500, 1000, 1500, 1500} {
		r.Strike(now, 1, terms)
		if !r.On(now+want-1) || r.On(now+want) {
			t.Errorf("strike %d: rests till %v, want %v", i, r.till, now+want)
		}
		now += want
	}
	r.Strike(now, 0.5, terms)
	if r.On(now+750) || !r.On(now+749) {
		t.Error("jitter is not heeded:", r.till-now)
	}
	r.Answer()
	if r.On(now) {
		t.Error("it rests after an answer")
	}
	if r.Strike(now, 1, terms); r.On(now + 250) {
		t.Error("after an answer, rests do not begin anew")
	}
}

// A group rests once several members in a row gave no answer; one that strikes again and again, or an answer between, says
// nothing of the others. Strikes of what was under way do not lengthen a rest that has just begun.
func TestGroup(t *testing.T) {
	terms := Terms{First: 250, Most: 2000}
	strikes := func(members ...int64) *Group {
		g := &Group{}
		for _, m := range members {
			if m < 0 {
				g.Answer()
				continue
			}
			g.Strike(m, 3, 0, 1, terms)
		}
		return g
	}
	for _, k := range []struct {
		members []int64
		rests   bool
	}{{[]int64{1, 2}, false}, {[]int64{1, 1, 1, 1}, false}, {[]int64{1, 2, 3}, true}, {[]int64{1, 2, 1}, true}, {[]int64{1, 2, -1, 3, 4}, false}, {[]int64{1, 2, 3, -1}, false}} {
		if g := strikes(k.members...); g.On(100) != k.rests {
			t.Errorf("%v: rests %v, want %v", k.members, g.On(100), k.rests)
		}
	}
	g := strikes(1, 2, 3, 4, 5)
	if g.On(250) {
		t.Error("strikes of what was under way lengthened the rest")
	}
	g.Tried(260, terms)
	if !g.On(300) || g.On(510) {
		t.Error("while one is tried, others are not kept off")
	}
	g.Strike(6, 3, 300, 1, terms)
	if !g.On(799) || g.On(800) {
		t.Error("the second rest is not twice as long")
	}
	if g.Answer(); g.On(300) {
		t.Error("it rests after an answer")
	}
	if g.Tried(300, terms); g.On(300) {
		t.Error("a group that is not in doubt rests for a try")
	}
}

// A group is in doubt from its first rest until a member answers, also while it does not rest.
func TestGroupDoubted(t *testing.T) {
	var g Group
	g.Strike(1, 2, 0, 1, Terms{First: 100, Most: 400})
	if g.Doubted() {
		t.Error("in doubt after one strike of two")
	}
	g.Strike(2, 2, 10, 1, Terms{First: 100, Most: 400})
	if !g.Doubted() || g.On(1000) || !g.Doubted() {
		t.Error("not in doubt after its rest")
	}
	if g.Answer(); g.Doubted() {
		t.Error("in doubt after an answer")
	}
}
