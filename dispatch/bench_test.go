package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// benchFleet returns one of 600 controllers, the current time and the endpoint list. The given share of the engines
// warms up during the complete benchmark, as happens for some time after a zone or a region has come back.
func benchFleet(tb testing.TB, engines int, warmingShare float64) (*Controller, time.Duration, []Endpoint) {
	tb.Helper()
	config := fleetConfig(fleetScenario{seed: 1, routers: 600, cores: 8}, 7)
	config.WarmUp.Duration = 1000 * time.Hour
	c, err := New(config)
	if err != nil {
		tb.Fatal(err)
	}
	now := 2000 * time.Hour
	var endpoints []Endpoint
	for i := range engines {
		e := Endpoint{ID: EngineID(i + 1), Kind: "k", Zone: fmt.Sprint("z", i%6), Cell: i % 6, CapacityWeight: 1}
		if float64(i) < warmingShare*float64(engines) {
			e.StartedAt = now - time.Second - time.Duration(i)*ms
		}
		endpoints = append(endpoints, e)
	}
	c.Handle(now, EndpointList{Mode: ListComplete, Endpoints: endpoints}, nil)
	return c, now, endpoints
}

const (
	benchStatementsPerSecond = 450 // arriving at one router
	benchOpenStatements      = 16  // statements open at the same time
)

// benchTraffic sends a controller the statements that one router receives in the fleet simulation, and ends them in the
// order of their arrival.
type benchTraffic struct {
	controller *Controller
	now        time.Duration
	statements int
	open       []RequestID
	actions    []Action
}

// newBenchTraffic returns traffic with benchOpenStatements open statements.
func newBenchTraffic(c *Controller, now time.Duration) *benchTraffic {
	traffic := &benchTraffic{controller: c, now: now}
	for range benchOpenStatements {
		traffic.arrive()
	}
	return traffic
}

func (t *benchTraffic) handle(event Event) {
	t.actions = t.controller.Handle(t.now, event, t.actions[:0])
}

// arrive sends the controller the next statement: a load for each multiple of 16, otherwise a report for each multiple
// of 6, otherwise a lookup.
func (t *benchTraffic) arrive() {
	t.now += time.Second / benchStatementsPerSecond
	t.statements++
	class, estimate := "lookup", 85*ms
	switch {
	case t.statements%16 == 0:
		class, estimate = "load", 900*ms
	case t.statements%6 == 0:
		class, estimate = "report", 900*ms
	}
	id := RequestID(fmt.Sprint(t.statements))
	t.open = append(t.open, id)
	t.handle(Arrival{
		Request: id, Class: class, TableGroup: int64(t.statements%40 + 1), TimeLeft: 2 * time.Second,
		Estimate: estimate, NeedMB: 64,
	})
}

// endOldest ends the oldest open statement, whether it was started, queued or rejected.
func (t *benchTraffic) endOldest() {
	id := t.open[0]
	t.open = t.open[1:]
	t.handle(AttemptEnd{Request: id, Outcome: Served, Last: true})
	t.handle(ClientGone{Request: id})
}

var benchSizes = []int{30, 300, 1200, 4800}

// BenchmarkStatement measures the arrival and the end of one statement, plus a quarter of a timer event.
func BenchmarkStatement(b *testing.B) {
	for _, engines := range benchSizes {
		for _, warmingShare := range []float64{0, 0.1, 0.17, 0.5} {
			b.Run(fmt.Sprintf("engines=%d/cold=%.0f%%", engines, 100*warmingShare), func(b *testing.B) {
				c, now, _ := benchFleet(b, engines, warmingShare)
				traffic := newBenchTraffic(c, now)
				b.ResetTimer()
				for range b.N {
					traffic.arrive()
					traffic.endOldest()
					if traffic.statements%4 == 0 {
						traffic.handle(TimerFired{Tag: housekeepingTag})
					}
				}
			})
		}
	}
}

// BenchmarkListChange measures a change of the endpoint list in which one engine begins to drain or becomes live again.
func BenchmarkListChange(b *testing.B) {
	for _, engines := range benchSizes {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			c, now, list := benchFleet(b, engines, 0)
			actions := make([]Action, 0, 16)
			for i := range b.N {
				now += ms
				e := list[i/2%len(list)]
				e.State = []EndpointState{Draining, Live}[i%2]
				c.Handle(now, EndpointList{Mode: ListIncremental, Endpoints: []Endpoint{e}}, actions)
				c.selector.engines()
			}
		})
	}
}

// BenchmarkTimer measures a timer event while statements are open.
func BenchmarkTimer(b *testing.B) {
	for _, engines := range benchSizes {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			c, now, _ := benchFleet(b, engines, 0.17)
			traffic := newBenchTraffic(c, now)
			b.ResetTimer()
			for range b.N {
				traffic.now += 5 * time.Microsecond
				c.deadlines.timerAt = traffic.now
				traffic.handle(TimerFired{Tag: housekeepingTag})
			}
		})
	}
}
