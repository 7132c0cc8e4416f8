package dispatch

import (
	"testing"
	"time"
)

// No more are held than may be, of those that can't meet their aim any more: the client hears at once. It guards against
// held queries that take the clients' connections from those that could still be served. Both processes of an upgrade
// count.
func TestQueuedRequestsAreBounded(t *testing.T) {
	config := twoClassConfig()
	config.MaxQueued = 10
	for _, k := range []struct{ peer, want int }{{0, 10}, {4, 6}, {40, 0}} {
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, testEngines(2)...)
		h.handle(OtherProcessUsage{Queued: k.peer})
		for range 60 {
			h.arriveWith(Arrival{Class: "big", Estimate: 20 * time.Second, TimeLeft: 15 * time.Second})
		}
		h.advance(5 * time.Second)
		answered := 0
		for _, client := range h.clients {
			answered += client.answers
		}
		if h.controller.queues.length != k.want || answered != 60-k.want-len(h.starts) {
			t.Errorf("%d held and %d answered with %d sent; %d are held elsewhere", h.controller.queues.length, answered, len(h.starts), k.peer)
		}
	}
}

func TestReleaseRatio(t *testing.T) {
	for _, k := range []struct {
		q1, q2, ratio float64
		many          int
		preferred     bool
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
		many, preferred := releaseRatio(k.q1, k.q2, k.ratio)
		if many != k.many || preferred != k.preferred {
			t.Errorf("q1 %v q2 %v R %v: %d preferred %v, want %d %v", k.q1, k.q2, k.ratio, many, preferred,
				k.many, k.preferred)
		}
	}
}

// TestReleaseOrder fills queues and reads the order in which classes are picked.
func TestReleaseOrder(t *testing.T) {
	three := twoClassConfig()
	three.Classes = append(three.Classes, Class{
		Name: "load", LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second,
		Threads: 2,
	})
	for _, k := range []struct {
		name         string
		q1, q2, q3   int
		want         string
		ratioForBigs float64
	}{
		{"preferred side", 4, 2, 0, "qqbqqb", 1},
		{"other side", 1, 4, 0, "bbqbb", 2},
		{"preferred empty", 0, 3, 0, "bbb", 1},
		{"others empty", 3, 0, 0, "qqq", 1},
		{"cap", 9, 1, 0, "qqqqqqqbqq", 9},
		{"three classes", 2, 1, 1, "qbql", 1},
	} {
		t.Run(k.name, func(t *testing.T) {
			c, err := New(three)
			if err != nil {
				t.Fatal(err)
			}
			for i, n := range []int{k.q1, k.q2, k.q3} {
				c.classes.all[i].objectiveRatio = k.ratioForBigs
				for j := range n {
					queue := c.queues.queues[i]
					queue.ready = append(queue.ready, &request{
						arrivedAt: time.Duration(i*10 + j),
						objective: time.Duration(i*10+j) + time.Second,
					})
				}
			}
			c.env.now = time.Second
			got := ""
			pass := &releasePass{classQueues: c.queues, now: c.env.now}
			for queue := pass.next(); queue != nil; queue = pass.next() {
				queue.ready = queue.ready[1:]
				got += queue.class.Name[:1]
			}
			if got != k.want {
				t.Errorf("released %s, want %s", got, k.want)
			}
		})
	}
}
