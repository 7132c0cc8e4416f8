package pressure

import (
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var paging = Limits{MemoryMB: 1000, MaxGrantShare: 0.4, Shortage: ShortagePage}

// The queries of TestHeadroom belong to one table group.
var (
	reader = Query{NeedMB: 80, TableGroup: 5, BlockedByLoad: true}
	load   = Query{NeedMB: 200, TableGroup: 5, LocksTableGroup: true}
)

// report returns a function that has an engine report at a time.
func loadReported(r LoadReport, at float64) func(*Engine) {
	return func(e *Engine) { e.LoadReported(r, at) }
}

// start returns a function that starts a query on an engine at a time.
func attemptStarted(query Query, at float64) func(*Engine) {
	return func(e *Engine) { e.AttemptStarted(query, paging, at) }
}

// end returns a function that ends a query on an engine.
func attemptEnded(query Query) func(*Engine) {
	return func(e *Engine) { e.AttemptEnded(query) }
}

// lock returns a function that observes another router's load of group 5 at time 500.
func lockObserved(until float64) func(*Engine) {
	return func(e *Engine) { e.LockObserved(5, 500, until) }
}

// headroomTest is the headroom of an engine for a query at time 1000, after some events.
type headroomTest struct {
	name   string
	events events
	query  Query
	want   Headroom
}

func TestHeadroom(t *testing.T) {
	for _, test := range slices.Concat(reportTests(), lockTests()) {
		var engine Engine
		for _, event := range test.events {
			event(&engine)
		}
		got := engine.Headroom(test.query, paging, 1000)
		if math.Abs(got.MemoryShare-test.want.MemoryShare) < 1e-9 {
			got.MemoryShare = test.want.MemoryShare
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

// events are played one after the other.
type events = []func(*Engine)

// reportTests are those of the memory share, which load reports tell.
func reportTests() []headroomTest {
	half := LoadReport{Memory: 0.5}
	notANumber := LoadReport{Memory: math.NaN()}
	noMemory := LoadReport{Memory: -1, Busy: 0.5}
	return []headroomTest{
		{"nothing known", nil, reader, Headroom{}},
		{"an idle engine", events{loadReported(LoadReport{}, 900)}, reader, Headroom{MemoryShare: 0.1}},
		{"half granted", events{loadReported(half, 900)}, reader, Headroom{MemoryShare: 0.6}},
		{"a report that is old", events{loadReported(half, 0)}, reader, Headroom{}},
		{"a report without memory", events{loadReported(noMemory, 900)}, reader, Headroom{}},
		{"a report that is no number", events{loadReported(notANumber, 900)}, reader, Headroom{}},
		{"a query without an estimate", events{loadReported(half, 900)}, Query{}, Headroom{MemoryShare: 0.5}},
		{
			"a wild estimate gets no more than one may have",
			events{loadReported(half, 900)},
			Query{NeedMB: 1e12},
			Headroom{MemoryShare: 0.9},
		},
		{"sent since the report", events{loadReported(half, 800), attemptStarted(reader, 900)}, reader, Headroom{MemoryShare: 0.7}},
		{
			"sent just before the report, which lags",
			events{attemptStarted(reader, 600), loadReported(half, 800)},
			reader,
			Headroom{MemoryShare: 0.7},
		},
		{"sent long before the report", events{attemptStarted(reader, 400), loadReported(half, 800)}, reader, Headroom{MemoryShare: 0.6}},
	}
}

// lockTests are those of loads that lock a table group.
func lockTests() []headroomTest {
	return []headroomTest{
		{"behind an own load", events{attemptStarted(load, 0)}, reader, Headroom{BlockedByLock: true}},
		{"a load behind another", events{attemptStarted(load, 0)}, load, Headroom{BlockedByLock: true}},
		{
			"beside a load of another group",
			events{attemptStarted(load, 0)},
			Query{TableGroup: 6, BlockedByLoad: true},
			Headroom{},
		},
		{"of a class that loads do not block", events{attemptStarted(load, 0)}, Query{TableGroup: 5}, Headroom{}},
		{"after the load", events{attemptStarted(load, 0), attemptEnded(load)}, reader, Headroom{}},
		{
			"after one of two loads",
			events{attemptStarted(load, 0), attemptStarted(load, 0), attemptEnded(load)},
			reader,
			Headroom{BlockedByLock: true},
		},
		{"loads that ended twice", events{attemptEnded(load), attemptEnded(load), attemptStarted(load, 0)}, reader, Headroom{BlockedByLock: true}},
		{
			"a load without a group",
			events{attemptStarted(Query{LocksTableGroup: true}, 0)},
			Query{BlockedByLoad: true},
			Headroom{},
		},
		{"another router's load", events{lockObserved(1500)}, reader, Headroom{BlockedByLock: true}},
		{"another router's load, by now over", events{lockObserved(900)}, reader, Headroom{}},
		{"a lock without an end", events{lockObserved(math.NaN())}, reader, Headroom{}},
	}
}

// Only where a shortage hurts all is there a bound, and a fleet whose reports say 'idle' is always below it.
func TestMaxMemoryShare(t *testing.T) {
	for shortage, want := range map[MemoryShortage]float64{
		ShortageWait:   math.Inf(1),
		ShortageShrink: math.Inf(1),
		ShortagePage:   1.2,
	} {
		if got := (Limits{Shortage: shortage}).MaxMemoryShare(); got != want {
			t.Errorf("%v: %v, want %v", shortage, got, want)
		}
	}
}

func TestSpareCapacityAndCostFactor(t *testing.T) {
	for _, test := range []struct {
		name   string
		report LoadReport
		age    float64
		spare  bool
		factor float64
	}{
		{"idle", LoadReport{0, 0, 0, 0, 0}, 0, true, 1},
		{"half", LoadReport{6, -1, 0.5, -1, 0.25}, 0, true, 1.75 * 1.5},
		{"busy", LoadReport{24, -1, 0.9, -1, 0.5}, 0, false, 2.4 * 3},
		{"more memory granted than there is", LoadReport{1, 0, 0.1, 0, 3.9}, 0, false, 5 * (1 + 1.0/12)},
		{"a long queue", LoadReport{1, 1000, 0, 0, 0}, 0, false, 6 * (1 + 1.0/12)},
		{"only disks", LoadReport{-1, -1, -1, 0.5, -1}, 0, false, 1.5},
		{"nothing", LoadReport{-1, -1, -1, -1, -1}, 0, false, 1},
		{"no numbers", LoadReport{math.NaN(), math.Inf(1), math.NaN(), math.Inf(-1), math.NaN()}, 0, false, 1},
		{"half, a second ago", LoadReport{6, -1, 0.5, -1, 0.25}, 1000, true, 1},
		{"half, two seconds ago", LoadReport{6, -1, 0.5, -1, 0.25}, 2000, false, 1},
	} {
		var engine Engine
		engine.LoadReported(test.report, 1e6)
		spare, factor := engine.HasSpareCapacity(12, 1e6+test.age), engine.CostFactor(12, 1e6+test.age)
		if spare != test.spare || math.Abs(factor-test.factor) > 1e-9 {
			t.Errorf("%s: calm %v factor %v, want %v and %v", test.name, spare, factor, test.spare, test.factor)
		}
	}
	if engine := (&Engine{}); engine.HasSpareCapacity(12, 1e6) || engine.CostFactor(12, 1e6) != 1 {
		t.Error("an engine that never reported is calm, or has a cost factor")
	}
}

func drawLimits(t *rapid.T) Limits {
	return Limits{
		MemoryMB:      rapid.SampledFrom([]float64{0, 1, 1000, 24576, 1e9}).Draw(t, "memory"),
		MaxGrantShare: rapid.Float64Range(0, 1).Draw(t, "max grant share"),
		Shortage:      MemoryShortage(rapid.IntRange(0, 2).Draw(t, "shortage")),
	}
}

func drawQuery(t *rapid.T, label string) Query {
	return rapid.Custom(func(t *rapid.T) Query {
		return Query{
			NeedMB:          rapid.SampledFrom([]float64{0, -5, 1, 300, 1e9, math.NaN()}).Draw(t, "need"),
			TableGroup:      int64(rapid.IntRange(0, 3).Draw(t, "group")),
			LocksTableGroup: rapid.Bool().Draw(t, "locks"),
			BlockedByLoad:   rapid.Bool().Draw(t, "blocked"),
		}
	}).Draw(t, label)
}

func drawMemoryReport(t *rapid.T) LoadReport {
	shares := []float64{-1, 0, 0.5, 3.9, math.NaN(), math.Inf(1)}
	return LoadReport{Memory: rapid.SampledFrom(shares).Draw(t, "share")}
}

// checkStartIsMonotone starts a drawn query, and checks that another one does not meet less than before.
func checkStartIsMonotone(t *rapid.T, engine *Engine, other Query, limits Limits, now float64) (started Query) {
	t.Helper()
	before := engine.Headroom(other, limits, now)
	started = drawQuery(t, "sent")
	engine.AttemptStarted(started, limits, now)
	after := engine.Headroom(other, limits, now)
	if after.MemoryShare < before.MemoryShare || before.BlockedByLock && !after.BlockedByLock {
		t.Fatalf("%+v before and %+v after one more was sent", before, after)
	}
	return started
}

// Whatever happens, answers are numbers; more in flight never looks like less; and with all ended and an idle report
// nothing blocks a query: there is no state in which nothing would be sent any more.
func TestHeadroomIsMonotoneAndRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := drawLimits(t)
		var engine Engine
		var running []Query
		now := 1e6
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now += rapid.Float64Range(0, 400).Draw(t, "gap")
			query := drawQuery(t, "query")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				running = append(running, checkStartIsMonotone(t, &engine, query, limits, now))
			case 1:
				if len(running) > 0 {
					engine.AttemptEnded(running[0])
					running = running[1:]
				}
			case 2:
				engine.LoadReported(drawMemoryReport(t), now)
			case 3:
				engine.LockObserved(query.TableGroup, now, now+rapid.Float64Range(-100, 5000).Draw(t, "for"))
			}
			if got := engine.Headroom(query, limits, now); math.IsNaN(got.MemoryShare) || got.MemoryShare < 0 {
				t.Fatalf("%+v", got)
			}
		}
		for _, query := range running {
			engine.AttemptEnded(query)
		}
		now += 10_000
		engine.LoadReported(LoadReport{}, now)
		small := Query{NeedMB: 1, TableGroup: 1, BlockedByLoad: true}
		got := engine.Headroom(small, Limits{MemoryMB: 1000, Shortage: ShortagePage}, now)
		if got.BlockedByLock || got.MemoryShare > paging.MaxMemoryShare() {
			t.Fatalf("nothing runs, and one more query meets %+v", got)
		}
	})
}
