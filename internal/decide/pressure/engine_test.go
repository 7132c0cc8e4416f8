package pressure

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var paging = Limits{MemoryMB: 1000, MaxGrantShare: 0.4, Shortage: ShortagePage}

// What one more query would meet, after a script of what was sent, ended and reported.
func TestMore(t *testing.T) {
	reader, load := Query{NeedMB: 80, TableGroup: 5, BlockedByLoad: true}, Query{NeedMB: 200, TableGroup: 5, LocksTableGroup: true}
	half := LoadReport{Memory: 0.5}
	for _, k := range []struct {
		name string
		play func(*Engine)
		ask  Query
		want Headroom
	}{
		{"nothing known", func(*Engine) {}, reader, Headroom{}},
		{"an idle engine", func(e *Engine) { e.LoadReported(LoadReport{}, 900) }, reader, Headroom{MemoryShare: 0.1}},
		{"half granted", func(e *Engine) { e.LoadReported(half, 900) }, reader, Headroom{MemoryShare: 0.6}},
		{"a report that is old", func(e *Engine) { e.LoadReported(half, 0) }, reader, Headroom{}},
		{"a report without memory", func(e *Engine) { e.LoadReported(LoadReport{Memory: -1, Busy: 0.5}, 900) }, reader, Headroom{}},
		{"a report that is no number", func(e *Engine) { e.LoadReported(LoadReport{Memory: math.NaN()}, 900) }, reader, Headroom{}},
		{"a query without an estimate", func(e *Engine) { e.LoadReported(half, 900) }, Query{}, Headroom{MemoryShare: 0.5}},
		{"a wild estimate gets no more than one may have", func(e *Engine) { e.LoadReported(half, 900) }, Query{NeedMB: 1e12}, Headroom{MemoryShare: 0.9}},
		{"sent since the report", func(e *Engine) { e.LoadReported(half, 800); e.AttemptStarted(reader, paging, 900) }, reader, Headroom{MemoryShare: 0.7}},
		{"sent just before the report, which lags", func(e *Engine) { e.AttemptStarted(reader, paging, 600); e.LoadReported(half, 800) }, reader, Headroom{MemoryShare: 0.7}},
		{"sent long before the report", func(e *Engine) { e.AttemptStarted(reader, paging, 400); e.LoadReported(half, 800) }, reader, Headroom{MemoryShare: 0.6}},
		{"behind an own load", func(e *Engine) { e.AttemptStarted(load, paging, 0) }, reader, Headroom{BlockedByLock: true}},
		{"a load behind another", func(e *Engine) { e.AttemptStarted(load, paging, 0) }, load, Headroom{BlockedByLock: true}},
		{"beside a load of another group", func(e *Engine) { e.AttemptStarted(load, paging, 0) }, Query{TableGroup: 6, BlockedByLoad: true}, Headroom{}},
		{"of a class that does not wait", func(e *Engine) { e.AttemptStarted(load, paging, 0) }, Query{TableGroup: 5}, Headroom{}},
		{"after the load", func(e *Engine) { e.AttemptStarted(load, paging, 0); e.AttemptEnded(load) }, reader, Headroom{}},
		{"after one of two loads", func(e *Engine) {
			e.AttemptStarted(load, paging, 0)
			e.AttemptStarted(load, paging, 0)
			e.AttemptEnded(load)
		}, reader, Headroom{BlockedByLock: true}},
		{"loads that ended twice", func(e *Engine) { e.AttemptEnded(load); e.AttemptEnded(load); e.AttemptStarted(load, paging, 0) }, reader, Headroom{BlockedByLock: true}},
		{"a load without a group", func(e *Engine) { e.AttemptStarted(Query{LocksTableGroup: true}, paging, 0) }, Query{BlockedByLoad: true}, Headroom{}},
		{"another router's load", func(e *Engine) { e.LockObserved(5, 500, 1500) }, reader, Headroom{BlockedByLock: true}},
		{"another router's load, by now over", func(e *Engine) { e.LockObserved(5, 500, 900) }, reader, Headroom{}},
		{"noticed with no end", func(e *Engine) { e.LockObserved(5, 500, math.NaN()) }, reader, Headroom{}},
	} {
		var e Engine
		k.play(&e)
		got := e.Headroom(k.ask, paging, 1000)
		if math.Abs(got.MemoryShare-k.want.MemoryShare) < 1e-9 {
			got.MemoryShare = k.want.MemoryShare
		}
		if diff := cmp.Diff(k.want, got); diff != "" {
			t.Errorf("%s: %s", k.name, diff)
		}
	}
}

// Only where a shortage hurts all is there a bound, and a fleet whose reports say 'idle' is always below it.
func TestMost(t *testing.T) {
	for short, want := range map[MemoryShortage]float64{ShortageWait: math.Inf(1), ShortageShrink: math.Inf(1), ShortagePage: 1.2} {
		if got := (Limits{Shortage: short}).MaxMemoryShare(); got != want {
			t.Errorf("%v: %v, want %v", short, got, want)
		}
	}
}

func TestReports(t *testing.T) {
	for _, k := range []struct {
		name   string
		report LoadReport
		age    float64
		calm   bool
		weight float64
	}{
		{"idle", LoadReport{0, 0, 0, 0, 0}, 0, true, 1},
		{"half", LoadReport{6, -1, 0.5, -1, 0.25}, 0, true, 1.75 * 1.5},
		{"busy", LoadReport{24, -1, 0.9, -1, 0.5}, 0, false, 2.4 * 3},
		{"memory over the whole", LoadReport{1, 0, 0.1, 0, 3.9}, 0, false, 5 * (1 + 1.0/12)},
		{"a long line", LoadReport{1, 1000, 0, 0, 0}, 0, false, 6 * (1 + 1.0/12)},
		{"only disks", LoadReport{-1, -1, -1, 0.5, -1}, 0, false, 1.5},
		{"nothing", LoadReport{-1, -1, -1, -1, -1}, 0, false, 1},
		{"no numbers", LoadReport{math.NaN(), math.Inf(1), math.NaN(), math.Inf(-1), math.NaN()}, 0, false, 1},
		{"half, a second ago", LoadReport{6, -1, 0.5, -1, 0.25}, 1000, true, 1},
		{"half, two seconds ago", LoadReport{6, -1, 0.5, -1, 0.25}, 2000, false, 1},
	} {
		var e Engine
		e.LoadReported(k.report, 1e6)
		if calm, w := e.Calm(12, 1e6+k.age), e.CostFactor(12, 1e6+k.age); calm != k.calm || math.Abs(w-k.weight) > 1e-9 {
			t.Errorf("%s: calm %v weight %v, want %v and %v", k.name, calm, w, k.calm, k.weight)
		}
	}
	if e := (&Engine{}); e.Calm(12, 1e6) || e.CostFactor(12, 1e6) != 1 {
		t.Error("an engine that never reported tells something")
	}
}

// Whatever comes, answers are numbers; more under way never looks like less; and with all ended and an idle report nothing
// stands in the way: no state is left in which nothing would be sent.
func TestMoreIsMonotoneAndRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Limits{
			MemoryMB:      rapid.SampledFrom([]float64{0, 1, 1000, 24576, 1e9}).Draw(t, "memory"),
			MaxGrantShare: rapid.Float64Range(0, 1).Draw(t, "most"), Shortage: MemoryShortage(rapid.IntRange(0, 2).Draw(t, "short")),
		}
		query := rapid.Custom(func(t *rapid.T) Query {
			return Query{
				NeedMB:     rapid.SampledFrom([]float64{0, -5, 1, 300, 1e9, math.NaN()}).Draw(t, "need"),
				TableGroup: int64(rapid.IntRange(0, 3).Draw(t, "group")), LocksTableGroup: rapid.Bool().Draw(t, "load"), BlockedByLoad: rapid.Bool().Draw(t, "waits"),
			}
		})
		var e Engine
		var out []Query
		now := 1e6
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now += rapid.Float64Range(0, 400).Draw(t, "gap")
			ask := query.Draw(t, "ask")
			before := e.Headroom(ask, terms, now)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				q := query.Draw(t, "sent")
				e.AttemptStarted(q, terms, now)
				out = append(out, q)
				if after := e.Headroom(ask, terms, now); after.MemoryShare < before.MemoryShare || before.BlockedByLock && !after.BlockedByLock {
					t.Fatalf("%+v before and %+v after one more was sent", before, after)
				}
			case 1:
				if len(out) > 0 {
					e.AttemptEnded(out[0])
					out = out[1:]
				}
			case 2:
				e.LoadReported(LoadReport{Memory: rapid.SampledFrom([]float64{-1, 0, 0.5, 3.9, math.NaN(), math.Inf(1)}).Draw(t, "share")}, now)
			case 3:
				e.LockObserved(ask.TableGroup, now, now+rapid.Float64Range(-100, 5000).Draw(t, "for"))
			}
			if m := e.Headroom(ask, terms, now); math.IsNaN(m.MemoryShare) || m.MemoryShare < 0 {
				t.Fatalf("%+v", m)
			}
		}
		for _, q := range out {
			e.AttemptEnded(q)
		}
		now += 10_000
		e.LoadReported(LoadReport{}, now)
		small := Query{NeedMB: 1, TableGroup: 1, BlockedByLoad: true}
		if m := e.Headroom(small, Limits{MemoryMB: 1000, Shortage: ShortagePage}, now); m.BlockedByLock || m.MemoryShare > paging.MaxMemoryShare() {
			t.Fatalf("nothing runs, and one more query meets %+v", m)
		}
	})
}
