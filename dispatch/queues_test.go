package dispatch

import (
	"testing"
	"time"
)

func TestReleaseRatio(t *testing.T) {
	for _, test := range []struct {
		preferred, others, ratio float64
		releases                 int
		forPreferred             bool
	}{
		{4, 2, 1, 2, true},
		{2, 2, 1, 1, true},
		{3, 2, 2, 3, true},
		{1, 3, 2, 2, false},
		{1, 8, 4, 2, false},
		{50, 1, 5, 7, true},
		{1, 500, 2, 7, false},
		{1, 4, 4, 1, true},
	} {
		releases, forPreferred := releaseRatio(test.preferred, test.others, test.ratio)
		if releases != test.releases || forPreferred != test.forPreferred {
			t.Errorf("%+v: %d releases, for preferred requests: %v", test, releases, forPreferred)
		}
	}
}

// threeClassConfig returns settings with one more class of wide queries.
func threeClassConfig() Config {
	config := twoClassConfig()
	config.Classes = append(config.Classes, Class{
		Name: "load", LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second, Threads: 2,
	})
	return config
}

// fillQueues returns queues with the given numbers of ready requests in three classes, which all have the same
// objective ratio.
func fillQueues(t *testing.T, lengths [3]int, ratio float64) *classQueues {
	t.Helper()
	classes := newClassSet(threeClassConfig().Classes)
	queues := newClassQueues(classes)
	for i, n := range lengths {
		classes.all[i].objectiveRatio = ratio
		for j := range n {
			arrivedAt := time.Duration(i*10 + j)
			req := &request{class: classes.all[i], arrivedAt: arrivedAt, objective: arrivedAt + time.Second}
			queues.push(req, false)
		}
	}
	return queues
}

// Requests are released in the order of the delay-ratio control. Each letter is the initial of a class.
func TestReleaseOrder(t *testing.T) {
	for _, test := range []struct {
		name    string
		lengths [3]int
		want    string
		ratio   float64
	}{
		{"more preferred requests", [3]int{4, 2, 0}, "qqbqqb", 1},
		{"more other requests", [3]int{1, 4, 0}, "bbqbb", 2},
		{"preferred empty", [3]int{0, 3, 0}, "bbb", 1},
		{"others empty", [3]int{3, 0, 0}, "qqq", 1},
		{"maximum ratio", [3]int{9, 1, 0}, "qqqqqqqbqq", 9},
		{"three classes", [3]int{2, 1, 1}, "qbql", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			pass := &releasePass{classQueues: fillQueues(t, test.lengths, test.ratio), now: time.Second}
			got := ""
			for queue := pass.next(); queue != nil; queue = pass.next() {
				pass.remove(queue.ready[0])
				got += queue.class.Name[:1]
			}
			if got != test.want {
				t.Errorf("released %s, want %s", got, test.want)
			}
		})
	}
}

// releaseAll releases all requests that can be started, and returns their identifiers in order.
func releaseAll(queues *classQueues, blocked, mayStart func(*request) bool) (released string) {
	queues.release(time.Second, blocked, func(req *request) bool {
		if !mayStart(req) {
			return false
		}
		queues.remove(req)
		released += string(req.id)
		return true
	})
	return released
}

// Requests are queued at the end or at the front. Deferred requests are released last, blocked requests are passed
// over, and a queue is skipped after a few requests that cannot start.
func TestClassQueues(t *testing.T) {
	never, always := func(*request) bool { return false }, func(*request) bool { return true }
	is := func(ids string) func(*request) bool {
		return func(req *request) bool {
			for _, id := range ids {
				if string(req.id) == string(id) {
					return true
				}
			}
			return false
		}
	}
	for _, test := range []struct {
		name              string
		queued            string // in order; upper case is deferred, and "d" is queued at the front
		blocked, mayStart func(*request) bool
		want              string
	}{
		{"empty", "", never, always, ""},
		{"first come, first served", "abc", never, always, "abc"},
		{"at the front", "abcd", never, always, "dabc"},
		{"deferred last", "AbBc", never, always, "bcAB"},
		{"blocked passed over", "abc", is("b"), always, "ac"},
		{"none can start", "abc", never, never, ""},
		{"third can start", "abc", never, is("c"), "c"},
		{"skipped after three", "abcef", never, is("f"), ""},
		{"deferred only while no other is ready", "aB", never, is("B"), ""},
	} {
		classes := newClassSet(twoClassConfig().Classes)
		queues := newClassQueues(classes)
		for _, id := range test.queued {
			req := &request{id: RequestID(id), class: classes.all[1], deferred: id < 'a', objective: time.Second}
			queues.push(req, id == 'd')
		}
		if queues.len() != len(test.queued) || queues.noneReady(classes.all[1]) != (test.queued == "") {
			t.Errorf("%s: %d requests queued", test.name, queues.len())
		}
		if got := releaseAll(queues, test.blocked, test.mayStart); got != test.want {
			t.Errorf("%s: released %q, want %q", test.name, got, test.want)
		}
		if got := queues.len(); got != len(test.queued)-len(test.want) {
			t.Errorf("%s: %d requests still queued", test.name, got)
		}
	}
}

// The limit on queued requests includes those of the other process.
func TestQueueLimitCountsOtherProcess(t *testing.T) {
	for _, test := range []struct {
		configured, other, queued int
		over                      bool
	}{
		{0, 0, 1000, false},
		{2, 0, 2, false},
		{2, 0, 3, true},
		{2, 1, 2, true},
		{2, 5, 0, false},
		{2, 5, 1, true},
		{2, -3, 2, false},
	} {
		classes := newClassSet(twoClassConfig().Classes)
		queues := newClassQueues(classes)
		queues.setLimit(test.configured)
		queues.setOtherProcessLength(test.other, test.configured)
		for range test.queued {
			queues.push(&request{class: classes.all[0]}, false)
		}
		if got := queues.overLimit(); got != test.over {
			t.Errorf("%+v: over the limit: %v", test, got)
		}
	}
}

// Requests that can no longer meet their objective are queued up to a limit and rejected beyond it. This guards
// against queued requests that use up the clients' connections, which other requests could still use successfully.
// Both processes of a hot restart count.
func TestQueuedRequestsAreBounded(t *testing.T) {
	config := twoClassConfig()
	config.MaxQueued = 10
	for _, test := range []struct{ otherProcess, want int }{{0, 10}, {4, 6}, {40, 0}} {
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, testEngines(2)...)
		h.handle(OtherProcessUsage{Queued: test.otherProcess})
		for range 60 {
			h.arriveWith(Arrival{Class: "big", Estimate: 20 * time.Second, TimeLeft: 15 * time.Second})
		}
		h.advance(5 * time.Second)
		answered := 0
		for _, client := range h.clients {
			answered += client.answers
		}
		if n := h.controller.queues.len(); n != test.want || answered != 60-test.want-len(h.starts) {
			t.Errorf("%+v: %d requests queued, %d answered and %d started", test, n, answered, len(h.starts))
		}
	}
}
