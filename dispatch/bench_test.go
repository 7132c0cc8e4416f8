package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// benchFleet is one controller of 600 before a fleet, some of whose engines are cold. They stay so: what is measured is a
// moment after a zone or a region has come back.
func benchFleet(tb testing.TB, engines int, cold float64) (*Controller, time.Duration, []Endpoint) {
	tb.Helper()
	config := fleetConfig(fleetScenario{seed: 1, routers: 600, cores: 8}, 7)
	config.WarmUpDuration = 1000 * time.Hour
	c, err := New(config)
	if err != nil {
		tb.Fatal(err)
	}
	now := 2000 * time.Hour
	var list []Endpoint
	for i := range engines {
		e := Endpoint{ID: EngineID(i + 1), Kind: "k", Zone: fmt.Sprint("z", i%6), Cell: i % 6, CapacityWeight: 1}
		if float64(i) < cold*float64(engines) {
			e.StartedAt = now - time.Second - time.Duration(i)*ms
		}
		list = append(list, e)
	}
	c.Handle(now, EndpointList{Mode: ListComplete, Endpoints: list}, nil)
	return c, now, list
}

// benchTraffic is what the classes of the fleet world send, 450 statements a second at this router, each answered after a while.
type benchTraffic struct {
	controller *Controller
	now        time.Duration
	statements int
	open       []RequestID
	actions    []Action
}

// arrive has one statement arrive.
func (t *benchTraffic) arrive() {
	t.now += time.Second / 450
	t.statements++
	class, est := "lookup", 85*ms
	switch {
	case t.statements%16 == 0:
		class, est = "load", 900*ms
	case t.statements%6 == 0:
		class, est = "report", 900*ms
	}
	id := RequestID(fmt.Sprint(t.statements))
	t.open = append(t.open, id)
	t.actions = t.controller.Handle(t.now, Arrival{Request: id, Class: class, TableGroup: int64(t.statements%40 + 1), TimeLeft: 2 * time.Second, Estimate: est, NeedMB: 64}, t.actions[:0])
}

// end has the oldest one end, whatever became of it.
func (t *benchTraffic) end() {
	id := t.open[0]
	t.open = t.open[1:]
	t.actions = t.controller.Handle(t.now, AttemptEnd{Request: id, Outcome: Served, Last: true}, t.actions[:0])
	t.actions = t.controller.Handle(t.now, ClientGone{Request: id}, t.actions[:0])
}

var benchSizes = []int{30, 300, 1200, 4800}

// A statement: its arrival, its end and the ticks that fall to it.
func BenchmarkStatement(b *testing.B) {
	for _, n := range benchSizes {
		for _, cold := range []float64{0, 0.1, 0.17, 0.5} {
			b.Run(fmt.Sprintf("engines=%d/cold=%.0f%%", n, 100*cold), func(b *testing.B) {
				c, now, _ := benchFleet(b, n, cold)
				t := &benchTraffic{controller: c, now: now}
				for range 16 {
					t.arrive()
				}
				b.ResetTimer()
				for range b.N {
					t.arrive()
					t.end()
					if t.statements%4 == 0 {
						t.actions = c.Handle(t.now, TimerFired{Tag: housekeepingTag}, t.actions[:0])
					}
				}
			})
		}
	}
}

// A change of the list: one engine begins to drain and is back.
func BenchmarkListChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			c, now, list := benchFleet(b, n, 0)
			buf := make([]Action, 0, 16)
			for i := range b.N {
				now += ms
				e := list[i/2%len(list)]
				e.State = []EndpointState{Draining, Live}[i%2]
				c.Handle(now, EndpointList{Mode: ListIncremental, Endpoints: []Endpoint{e}}, buf)
				c.selector.engines()
			}
		})
	}
}

// A tick with statements open.
func BenchmarkTick(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			c, now, _ := benchFleet(b, n, 0.17)
			t := &benchTraffic{controller: c, now: now}
			for range 16 {
				t.arrive()
			}
			b.ResetTimer()
			for range b.N {
				t.now += 5 * time.Microsecond
				c.deadlines.timerAt = t.now
				t.actions = c.Handle(t.now, TimerFired{Tag: housekeepingTag}, t.actions[:0])
			}
		})
	}
}
