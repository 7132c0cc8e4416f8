package dispatch

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestRatioRule(t *testing.T) {
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

func TestPreferredPriority(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(3)...)
	w.arrive("quick", "")
	w.arrive("big", "")
	var got []int
	for _, a := range w.actions {
		if terms, ok := a.(SetResources); ok {
			got = append(got, terms.Priority)
		}
	}
	if !reflect.DeepEqual(got, []int{2, 0}) {
		t.Errorf("priorities %v, want 2 for the shortest aim and 0 for the other", got)
	}
}

// An arrival with no time left gets its answer in the call that brings it.
func TestExpiredArrivalAnsweredAtOnce(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(2)...)
	if tr := w.arriveWith(Arrival{Class: "big"}); tr.answers != 1 || len(w.starts) != 0 {
		t.Errorf("answers %d, sends %d", tr.answers, len(w.starts))
	}
}

func TestNoEngines(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	tr := w.arrive("big", "")
	w.advance(20 * time.Second)
	if tr.answers != 1 {
		t.Errorf("%d answers with no engine", tr.answers)
	}
}

func TestDrainStopsAtOnce(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(2)...)
	gone := testEngines(2)[0]
	gone.State = Draining
	w.updateEndpoints(ListIncremental, gone)
	for range 20 {
		w.now += 20 * ms
		w.endLatest(w.arrive("quick", ""), Served)
	}
	w.updateEndpoints(ListComplete, testEngines(1)...)
	for range 20 {
		w.now += 20 * ms
		w.endLatest(w.arrive("quick", ""), Served)
	}
	if len(w.starts) != 40 {
		t.Errorf("%d sends, want 40", len(w.starts))
	}
}

func TestOrderByKeyRests(t *testing.T) {
	cfg := twoClassConfig()
	cfg.Classes[0].OrderByKey, cfg.Classes[0].Deadline, cfg.KeyCooldown = true, 10*time.Second, time.Second
	cfg.Classes[0].LateWeightShare = 0.5
	w := newHarness(t, cfg)
	w.updateEndpoints(ListComplete, testEngines(3)...)
	a, b := w.arrive("quick", "t"), w.arrive("quick", "t")
	other := w.arrive("quick", "u")
	if len(a.engines) != 1 || len(b.engines) != 0 || len(other.engines) != 1 {
		t.Fatal("one key must run one at a time, others freely")
	}
	w.handle(ClientGone{Request: a.id})
	a.gone = true
	w.endLatest(a, ConnectionReset)
	w.advance(900 * ms)
	if len(b.engines) != 0 {
		t.Fatal("sent during the rest")
	}
	w.advance(200 * ms)
	if len(b.engines) != 1 {
		t.Error("not sent after the rest")
	}
}

func TestSubscribesAndBacksOff(t *testing.T) {
	cfg := twoClassConfig()
	cfg.PolledDiscovery, cfg.DiscoveryTimeout = true, 10*time.Second
	w := newHarness(t, cfg)
	w.updateEndpoints(ListCached, testEngines(2)...)
	count := func() (n int) {
		for _, a := range w.actions {
			if _, ok := a.(Subscribe); ok {
				n++
			}
		}
		return n
	}
	if count() != 1 {
		t.Fatal("no subscription at start")
	}
	w.updateEndpoints(ListFailed)
	if count() != 1 {
		t.Fatal("asked again at once")
	}
	w.advance(3 * time.Second)
	if count() != 2 {
		t.Errorf("%d subscriptions after a failure, want 2", count())
	}
}

// A cold engine gets no more than this gateway's slice in any window.
func TestColdSlice(t *testing.T) {
	for _, gateways := range []int{1, 4} {
		cfg := twoClassConfig()
		cfg.Routers, cfg.WarmUpInitialShare, cfg.WarmUpDuration = gateways, 0.4, 10*time.Second
		cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 2, time.Second
		w := newHarness(t, cfg)
		cold := testEngines(1)[0]
		cold.StartedAt = w.now - time.Second
		w.updateEndpoints(ListCached, cold)
		for range 200 {
			w.now += 10 * ms
			if tr := w.arrive("quick", ""); len(tr.engines) > 0 {
				w.endLatest(tr, Served)
			}
		}
		// 8 cores at 85% busy, times 0.4, times 2, a window of 1 s, and an even part of it.
		limit := 8 * 0.85 * 0.4 * 2 / float64(gateways)
		work := w.controller.classes.all[0].estimate.usualWork()
		worst := 0
		for i := range w.warmingStarts[1] {
			worst = max(worst, countAfter(w.warmingStarts[1][:i+1], w.warmingStarts[1][i]-time.Second))
		}
		if worst == 0 || float64(worst)*work > limit*1.3 {
			t.Errorf("%d gateways: %d queries of %.3f s in a window, limit %.2f s", gateways, worst, work, limit)
		}
	}
}

func TestInvalidSettingsAreNamed(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"classes":          func(c *Config) { c.Classes = nil },
		"classes[0].name":  func(c *Config) { c.Classes[0].Name = "" },
		"classes[1].aim":   func(c *Config) { c.Classes[1].LatencyObjective = -1 },
		"classes[0].deadl": func(c *Config) { c.Classes[0].Deadline = 0 },
		"cold-for":         func(c *Config) { c.WarmUpDuration = -1 },
		"kinds[0]":         func(c *Config) { c.Kinds[0].Cores = -1 },
	} {
		cfg := twoClassConfig()
		spoil(&cfg)
		if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() []Action {
		w := newHarness(t, twoClassConfig())
		w.updateEndpoints(ListComplete, testEngines(7)...)
		for i := range 300 {
			w.now += 7 * ms
			tr := w.arrive([]string{"quick", "big"}[i%2], "")
			if i%3 == 0 && len(tr.engines) > 0 {
				w.endLatest(tr, Served)
			}
		}
		return w.actions
	}
	if !reflect.DeepEqual(play(), play()) {
		t.Error("the same events gave other actions")
	}
}
