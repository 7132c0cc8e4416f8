package fleettest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"windflow/dispatch"
)

// Measures the time until the last of hundreds of routers has received the change of an engine, by the number of
// routers: from the discovery event to the report of the last simulated router.
func TestSlopesOfTelling(t *testing.T) {
	rows, h := requireSlopes(t), New(t)
	const changes = 20
	sizes := []int{60, 150, 300, 600}
	engines := Engines(1200)
	var median, worst []float64
	for _, n := range sizes {
		server := NewDiscoveryServer(t, engines)
		simulated := h.SimulatedRouters(simulatedSpecs(n, n, engines, 0, func(int) string { return server.Addr }))
		server.AwaitConnections(t, n)
		simulated.AwaitList(server.Change(ToggledEngine(engines, 0)))
		var took []float64
		for i := range changes {
			from := time.Now()
			simulated.AwaitList(server.Change(ToggledEngine(engines, 1+i)))
			took = append(took, time.Since(from).Seconds()*1000)
		}
		slices.Sort(took)
		median, worst = append(median, took[changes/2]), append(worst, took[changes-1])
		for _, p := range simulated.Processes {
			p.Kill()
		}
		server.Close()
	}
	const conditions = "from the board's event to the word of the last simulated router, 60 of them to a process, " +
		"1,200 engines, one in each change; wall time on one machine"
	rows.add("board-told-ms-by-routers", "board", "routers", "ms, median of 20 changes", pairs(sizes, median), conditions)
	rows.add("board-told-worst-ms-by-routers", "board", "routers", "ms, the most of 20 changes", pairs(sizes, worst),
		conditions)
}

// Measures the cost of a change of many engines in one frame, such as for the failure of a zone.
func TestSlopesOfAFrameOfMany(t *testing.T) {
	rows, h := requireSlopes(t), New(t)
	const frames = 30
	frameSizes := []int{1, 30, 100, 200, 600}
	var cost, bytes []float64
	for _, k := range frameSizes {
		engines := Engines(1200)
		server := NewDiscoveryServer(t, engines)
		relay := NewRelay(t, server.Addr)
		p := h.Router(Config{Name: fmt.Sprint("f", k), Routers: 600, Discovery: relay.Addr, Tenants: 4}).Process
		p.Ready()
		p.Await(LineEndpointEvent, 1)
		idle, before := p.Usage(), relay.WireBytes()
		ticker := time.NewTicker(20 * time.Millisecond)
		for n := range frames {
			list := slices.Clone(engines[:k])
			for i := range list {
				if n%2 == 0 {
					list[i].State = dispatch.Draining
				}
			}
			<-ticker.C
			server.Change(list...)
		}
		ticker.Stop()
		p.Await(LineEndpointEvent, 1+frames)
		cost = append(cost, (p.Usage().CPU-idle.CPU).Seconds()*1000/frames)
		bytes = append(bytes, float64(relay.WireBytes()-before)/frames)
		p.Kill()
	}
	const conditions = "a router of 1,200 engines without clients; 30 frames, 50 a second; " +
		"what it takes at rest in that time is in it"
	rows.add("router-frame-cost-by-engines-told", "router", "engines in one frame", milliseconds+" for one frame",
		pairs(frameSizes, cost), conditions)
	rows.add("router-frame-bytes-by-engines-told", "router", "engines in one frame",
		"bytes with headers, both directions, for one frame", pairs(frameSizes, bytes), conditions)
}
