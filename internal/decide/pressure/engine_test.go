package pressure

import (
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var paging = Limits{MemoryMB: 1000, MaxGrantShare: 0.4, Shortage: ShortagePage}

// The queries of TestHeadroom belong to the same table group.
var (
	reader = Query{NeedMB: 80, TableGroup: 5, BlockedByLoad: true}
	load   = Query{NeedMB: 200, TableGroup: 5, LocksTableGroup: true}
)

// loadReported returns an event: the engine sends a load report at a time.
func loadReported(r LoadReport, at float64) func(*Engine) {
	return func(e *Engine) { e.LoadReported(r, at) }
}

// attemptStarted returns an event: a query is sent to the engine at a time.
func attemptStarted(query Query, at float64) func(*Engine) {
	return func(e *Engine) { e.AttemptStarted(query, paging, at) }
}

// attemptEnded returns an event: a query ends on the engine.
func attemptEnded(query Query) func(*Engine) {
	return func(e *Engine) { e.AttemptEnded(query) }
}

// lockObserved returns an event: at time 500, a load of another router is observed to lock group 5 until a time.
func lockObserved(until float64) func(*Engine) {
	return func(e *Engine) { e.LockObserved(5, 500, until) }
}

// headroomTest is the expected headroom of an engine for a query at time 1000, after some events.
type headroomTest struct {
	name   string
	events events
	query  Query
	want   Headroom
}

// Guards against a wrong memory share or lock state, by which an engine is sent too many queries or none.
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

// events are applied in their order.
type events = []func(*Engine)

// reportTests cover the memory share, which depends on load reports.
func reportTests() []headroomTest {
	half := LoadReport{Memory: 0.5}
	notANumber := LoadReport{Memory: math.NaN()}
	noMemory := LoadReport{Memory: -1, Busy: 0.5}
	return []headroomTest{
		{"no report and no queries", nil, reader, Headroom{}},
		{"idle engine", events{loadReported(LoadReport{}, 900)}, reader, Headroom{MemoryShare: 0.1}},
		{"half of the memory granted", events{loadReported(half, 900)}, reader, Headroom{MemoryShare: 0.6}},
		{"outdated report", events{loadReported(half, 0)}, reader, Headroom{}},
		{"report without a memory share", events{loadReported(noMemory, 900)}, reader, Headroom{}},
		{"report with NaN as memory share", events{loadReported(notANumber, 900)}, reader, Headroom{}},
		{"query without an estimate", events{loadReported(half, 900)}, Query{}, Headroom{MemoryShare: 0.5}},
		{
			"huge estimate, limited by the maximum grant",
			events{loadReported(half, 900)},
			Query{NeedMB: 1e12},
			Headroom{MemoryShare: 0.9},
		},
		{
			"query sent after the report",
			events{loadReported(half, 800), attemptStarted(reader, 900)},
			reader,
			Headroom{MemoryShare: 0.7},
		},
		{
			"query sent within the report's lag",
			events{attemptStarted(reader, 600), loadReported(half, 800)},
			reader,
			Headroom{MemoryShare: 0.7},
		},
		{
			"query sent long before the report",
			events{attemptStarted(reader, 400), loadReported(half, 800)},
			reader,
			Headroom{MemoryShare: 0.6},
		},
	}
}

// lockTests cover loads that lock a table group.
func lockTests() []headroomTest {
	return []headroomTest{
		{"reader during a load of this router", events{attemptStarted(load, 0)}, reader, Headroom{BlockedByLock: true}},
		{"load during a load of this router", events{attemptStarted(load, 0)}, load, Headroom{BlockedByLock: true}},
		{
			"reader of another group than the load",
			events{attemptStarted(load, 0)},
			Query{TableGroup: 6, BlockedByLoad: true},
			Headroom{},
		},
		{"query that loads do not block", events{attemptStarted(load, 0)}, Query{TableGroup: 5}, Headroom{}},
		{"reader after the load has ended", events{attemptStarted(load, 0), attemptEnded(load)}, reader, Headroom{}},
		{
			"reader after one of two loads has ended",
			events{attemptStarted(load, 0), attemptStarted(load, 0), attemptEnded(load)},
			reader,
			Headroom{BlockedByLock: true},
		},
		{
			"load after more ends than starts",
			events{attemptEnded(load), attemptEnded(load), attemptStarted(load, 0)},
			reader,
			Headroom{BlockedByLock: true},
		},
		{
			"load without a group",
			events{attemptStarted(Query{LocksTableGroup: true}, 0)},
			Query{BlockedByLoad: true},
			Headroom{},
		},
		{"load of another router", events{lockObserved(1500)}, reader, Headroom{BlockedByLock: true}},
		{"load of another router that has ended", events{lockObserved(900)}, reader, Headroom{}},
		{"lock with NaN as its end", events{lockObserved(math.NaN())}, reader, Headroom{}},
	}
}

// Checks that the memory share has a maximum only where a shortage of memory slows down all queries, and that this
// maximum is above 1: engines that report idle memory must always stay below it.
func TestMaxMemoryShare(t *testing.T) {
	for shortage, want := range map[MemoryShortage]float64{
		ShortageWait:   math.Inf(1),
		ShortageShrink: math.Inf(1),
		ShortagePage:   1.2,
	} {
		if got := (Limits{Shortage: shortage}).MaxMemoryShare(); got != want {
			t.Errorf("shortage %v: maximum memory share %v, want %v", shortage, got, want)
		}
	}
}

// Guards against an engine that counts as having spare capacity without a recent report that shows it, and against
// cost factors that use outdated or invalid figures.
func TestSpareCapacityAndCostFactor(t *testing.T) {
	for _, test := range []struct {
		name   string
		report LoadReport
		age    float64
		spare  bool
		factor float64
	}{
		{"idle", LoadReport{0, 0, 0, 0, 0}, 0, true, 1},
		{"half loaded", LoadReport{6, -1, 0.5, -1, 0.25}, 0, true, 1.75 * 1.5},
		{"busy", LoadReport{24, -1, 0.9, -1, 0.5}, 0, false, 2.4 * 3},
		{"more memory granted than exists", LoadReport{1, 0, 0.1, 0, 3.9}, 0, false, 5 * (1 + 1.0/12)},
		{"long queue", LoadReport{1, 1000, 0, 0, 0}, 0, false, 6 * (1 + 1.0/12)},
		{"only the disk share is known", LoadReport{-1, -1, -1, 0.5, -1}, 0, false, 1.5},
		{"all figures unknown", LoadReport{-1, -1, -1, -1, -1}, 0, false, 1},
		{"NaN or infinite", LoadReport{math.NaN(), math.Inf(1), math.NaN(), math.Inf(-1), math.NaN()}, 0, false, 1},
		{"half loaded, one second ago", LoadReport{6, -1, 0.5, -1, 0.25}, 1000, true, 1},
		{"half loaded, two seconds ago", LoadReport{6, -1, 0.5, -1, 0.25}, 2000, false, 1},
	} {
		var engine Engine
		engine.LoadReported(test.report, 1e6)
		spare, factor := engine.HasSpareCapacity(12, 1e6+test.age), engine.CostFactor(12, 1e6+test.age)
		if spare != test.spare || math.Abs(factor-test.factor) > 1e-9 {
			t.Errorf("%s: spare capacity %v, cost factor %v, want %v and %v",
				test.name, spare, factor, test.spare, test.factor)
		}
	}
	if engine := (&Engine{}); engine.HasSpareCapacity(12, 1e6) || engine.CostFactor(12, 1e6) != 1 {
		t.Error("an engine without a report has spare capacity or a cost factor other than 1")
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

// checkStartIsMonotone starts a random query and checks that another query does not find less load than before.
func checkStartIsMonotone(t *rapid.T, engine *Engine, other Query, limits Limits, now float64) (started Query) {
	t.Helper()
	before := engine.Headroom(other, limits, now)
	started = drawQuery(t, "sent")
	engine.AttemptStarted(started, limits, now)
	after := engine.Headroom(other, limits, now)
	if after.MemoryShare < before.MemoryShare || before.BlockedByLock && !after.BlockedByLock {
		t.Fatalf("headroom is %+v before a query was sent and %+v after it", before, after)
	}
	return started
}

// Checks for any order of events that results are valid numbers, that more queries in flight never look like less
// load, and that nothing blocks a query when all queries have ended and the engine reports idle. Guards against a
// state in which an engine is never sent a query again.
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
				t.Fatalf("headroom is %+v, want a memory share that is a number and not negative", got)
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
			t.Fatalf("no query runs and the engine reports idle, but the headroom is %+v", got)
		}
	})
}
