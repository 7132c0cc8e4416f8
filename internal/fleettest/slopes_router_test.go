package fleettest

import (
	"fmt"
	"testing"
	"time"
)

var engineSizes = []int{30, 120, 300, 1200, 4800}

const (
	cpuPercent     = "processor time, percent of one core"
	milliseconds   = "processor time, ms"
	megabytes      = "resident memory, MB of 2^20 bytes"
	bytesPerSecond = "bytes a second with headers, both directions"
	idleConditions = "a router with 4 tenants and no clients, the stand-in board sending a frame a second; 20 s"
)

// Measures the cost of an idle router, the bytes of a complete endpoint list, and the cost of one change of the list,
// each by the number of engines in the list.
func TestSlopesOfARouterByEngines(t *testing.T) {
	rows, h := requireSlopes(t), New(t)
	var all []*Process
	var relays []*Relay
	var servers []*DiscoveryServer
	var lists, onWire []float64
	for _, n := range engineSizes {
		server := NewDiscoveryServer(t, Engines(n))
		relay := NewRelay(t, server.Addr)
		// The configuration has no endpoint list, so the server sends the complete one.
		p := h.Router(Config{Name: fmt.Sprint("e", n), Routers: 600, Discovery: relay.Addr, Tenants: 4})
		p.Ready()
		p.Await(LineEndpointEvent, 1) // the complete list
		lists = append(lists, float64(relay.Count(Downstream).Payload))
		onWire = append(onWire, float64(relay.WireBytes()))
		all, relays, servers = append(all, p.Process), append(relays, relay), append(servers, server)
	}
	rows.add("list-bytes-by-engines", "board", "engines", "bytes of a whole list", pairs(engineSizes, lists),
		"payload of the stand-in board's frame, counted by the relay")
	rows.add("list-wire-bytes-by-engines", "board", "engines", "bytes of a whole list with headers",
		pairs(engineSizes, onWire),
		"as list-bytes-by-engines, with the link's start and headers reckoned")
	before := make([]int64, len(relays))
	for i, relay := range relays {
		before[i] = relay.WireBytes()
	}
	from := time.Now()
	cpu, mb := measureCosts(measuredSpan, all...)
	var bytes []float64
	for i, relay := range relays {
		bytes = append(bytes, float64(relay.WireBytes()-before[i])/time.Since(from).Seconds())
	}
	rows.add("router-cpu-by-engines", "router", "engines", cpuPercent, pairs(engineSizes, cpu), idleConditions)
	rows.add("router-memory-by-engines", "router", "engines", megabytes, pairs(engineSizes, mb), idleConditions)
	rows.add("router-bytes-by-engines", "router", "engines", bytesPerSecond, pairs(engineSizes, bytes),
		idleConditions+"; its link to the board")

	const changes = 200
	var cost []float64
	for i, b := range servers {
		engines := Engines(engineSizes[i])
		idle, began := all[i].Usage(), time.Now()
		ticker := time.NewTicker(20 * time.Millisecond)
		for n := range changes {
			<-ticker.C
			b.Change(ToggledEngine(engines, n))
		}
		ticker.Stop()
		all[i].Await(LineEndpointEvent, 1+changes)
		used := all[i].Usage()
		idleCPU := time.Duration(cpu[i] / 100 * float64(time.Since(began)))
		cost = append(cost, (used.CPU-idle.CPU-idleCPU).Seconds()*1000/changes)
	}
	rows.add("router-list-change-cost-by-engines", "router", "engines", milliseconds+" for one change",
		pairs(engineSizes, cost),
		"200 changes of one engine each, 50 a second, one router after the other; less what it takes at rest")
}

// Measures the cost of changes of the endpoint list for a router of 1,200 engines, by their rate.
func TestSlopesOfARouterByListChanges(t *testing.T) {
	rows, h := requireSlopes(t), New(t)
	rates := []float64{0, 1, 3, 10, 30, 100}
	var all []*Process
	var relays []*Relay
	var servers []*DiscoveryProcess
	for i := range rates {
		server := h.DiscoveryProcess(1200)
		relay := NewRelay(t, server.Addr)
		p := h.Router(Config{Name: fmt.Sprint("c", i), Routers: 600, Discovery: relay.Addr, Tenants: 4})
		p.Ready()
		p.Await(LineEndpointEvent, 1)
		all, relays, servers = append(all, p.Process), append(relays, relay), append(servers, server)
	}
	from := make([]int64, len(rates))
	for i, perSecond := range rates {
		servers[i].SetChangeRate(perSecond)
		from[i] = relays[i].WireBytes()
	}
	began := time.Now()
	cpu, mb := measureCosts(measuredSpan, all...)
	var bytes []float64
	for i := range rates {
		bytes = append(bytes, float64(relays[i].WireBytes()-from[i])/time.Since(began).Seconds())
	}
	conditions := "1,200 engines, one of them in each change; no clients; 20 s"
	rows.add("router-cpu-by-list-changes", "router", "list changes a second", cpuPercent, pairs(rates, cpu), conditions)
	rows.add("router-memory-by-list-changes", "router", "list changes a second", megabytes, pairs(rates, mb), conditions)
	rows.add("router-bytes-by-list-changes", "router", "list changes a second", bytesPerSecond, pairs(rates, bytes),
		conditions)
}

// reloadChanged reloads a router with a changed configuration and waits for the reload. n is the number of earlier
// reloads.
func reloadChanged(p *Router, n int) {
	p.OverQuotaWeight = 0.1 + float64(n%2)/10
	p.Reload()
	p.Await(LineReloaded, n+1)
}

// Measures the cost of a reload by tenants and by engines, and the processor time of reloads by their rate.
func TestSlopesOfReloads(t *testing.T) {
	rows, h := requireSlopes(t), New(t)
	const reloads = 40
	cost := func(c Config) (ms, mb, fileBytes float64) {
		t.Helper()
		p := h.Router(c)
		p.Ready()
		from := p.Usage()
		for i := range reloads {
			reloadChanged(p, i)
		}
		to := p.Usage()
		p.Kill()
		return (to.CPU - from.CPU).Seconds() * 1000 / reloads, to.MB(), float64(len(p.Text()))
	}
	server := NewDiscoveryServer(t, Engines(1))
	tenants := []int{4, 100, 300, 1000, 4000}
	var ms, mb, size []float64
	for _, n := range tenants {
		took, resident, text := cost(Config{
			Name: fmt.Sprint("t", n), Routers: 600, Discovery: server.Addr, Engines: Engines(1200),
			Tenants: n,
		})
		ms, mb, size = append(ms, took), append(mb, resident), append(size, text)
	}
	conditions := "the whole file read again on SIGHUP, 40 times, each with a change; 1,200 engines in the file; " +
		"no clients"
	rows.add("reload-cost-by-tenants", "router", "tenants", milliseconds+" for one reload", pairs(tenants, ms), conditions)
	rows.add("router-memory-by-tenants", "router", "tenants", megabytes, pairs(tenants, mb),
		conditions+"; after the reloads")
	rows.add("configuration-bytes-by-tenants", "router", "tenants", "bytes of a whole configuration", pairs(tenants, size),
		"the file as the rig writes it, with 1,200 engines")
	ms = nil
	for _, n := range engineSizes {
		took, _, _ := cost(Config{Name: fmt.Sprint("g", n), Routers: 600, Discovery: server.Addr, Engines: Engines(n), Tenants: 4})
		ms = append(ms, took)
	}
	rows.add("reload-cost-by-engines", "router", "engines", milliseconds+" for one reload", pairs(engineSizes, ms),
		"as reload-cost-by-tenants, with 4 tenants")

	rates := []float64{0.25, 1, 2, 5}
	var at []float64
	for i, perSecond := range rates {
		p := h.Router(Config{
			Name: fmt.Sprint("r", i), Routers: 600, Discovery: server.Addr, Engines: Engines(1200),
			Tenants: 1000,
		})
		p.Ready()
		from, n := p.Usage(), int(max(8*perSecond, 2))
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		for k := range n {
			<-ticker.C
			reloadChanged(p, k)
		}
		ticker.Stop()
		at = append(at, Percent(from, p.Usage()))
		p.Kill()
	}
	rows.add("router-cpu-by-reloads", "router", "configuration changes a second", cpuPercent, pairs(rates, at),
		"each a SIGHUP on a changed file of 1,200 engines and 1,000 tenants; no clients")
}

// Measures the cost of a restart by the number of engines.
func TestSlopesOfARestart(t *testing.T) {
	rows, h := requireSlopes(t), New(t)
	const starts = 5
	var ready, cpu, bytes []float64
	for _, n := range engineSizes {
		server := NewDiscoveryServer(t, Engines(n))
		var sumMS, sumCPU, sumBytes float64
		for k := range starts {
			relay := NewRelay(t, server.Addr)
			from := time.Now()
			p := h.Router(Config{Name: fmt.Sprint("s", n, "-", k), Routers: 600, Discovery: relay.Addr, Tenants: 4})
			p.Ready()
			sumMS += time.Since(from).Seconds() * 1000
			p.Await(LineEndpointEvent, 1)
			sumCPU += p.Usage().CPU.Seconds() * 1000
			sumBytes += float64(relay.WireBytes())
			p.Kill()
		}
		ready, cpu, bytes = append(ready, sumMS/starts), append(cpu, sumCPU/starts), append(bytes, sumBytes/starts)
	}
	conditions := "mean of 5 starts of a router whose file names no engines, up to the whole list of the board"
	rows.add("restart-ready-by-engines", "router", "engines", "ms from the start of the process to its readiness",
		pairs(engineSizes, ready),
		conditions+"; wall time on a machine shared with other work")
	rows.add("restart-cpu-by-engines", "router", "engines", milliseconds+" of a start", pairs(engineSizes, cpu),
		conditions)
	rows.add("restart-bytes-by-engines", "router", "engines", "bytes of a start with headers, link to the board",
		pairs(engineSizes, bytes), conditions)
}
