package fleettest

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// sessionSockets is the setting limits.sockets for 2,400 sessions: a router uses four tenths of its descriptors for them.
const sessionSockets = 6000

// sessions are the clients of one router.
type sessions struct {
	clients []*Client
	meter   Meter
	ids     atomic.Uint64
}

// each calls f for each of n clients, 64 at a time, which is as many as can log in at once without a rejection. It fails
// the test if any call returns an error.
func (c *sessions) each(t *testing.T, n int, f func(i int) error) {
	t.Helper()
	var all sync.WaitGroup
	var lastError atomic.Pointer[string]
	slots := make(chan struct{}, 64)
	for i := range n {
		all.Add(1)
		slots <- struct{}{}
		go func() {
			defer all.Done()
			if err := f(i); err != nil {
				text := err.Error()
				lastError.Store(&text)
			}
			<-slots
		}()
	}
	all.Wait()
	if text := lastError.Load(); text != nil {
		t.Fatal(*text)
	}
}

// openSessions opens n sessions, each of which logs in and sends one ping.
func openSessions(t *testing.T, p *Router, n int) *sessions {
	t.Helper()
	c := &sessions{clients: make([]*Client, n)}
	t.Cleanup(c.close)
	c.each(t, n, func(i int) (err error) {
		if c.clients[i], err = Dial(p.Listen, &c.meter); err == nil {
			err = c.clients[i].Ping()
		}
		return err
	})
	return c
}

func (c *sessions) close() {
	for _, m := range c.clients {
		if m != nil {
			_ = m.Close()
		}
	}
}

// Measures the cost of idle sessions.
func TestSlopesOfSessionsAtRest(t *testing.T) {
	rows, h := requireSlopes(t), New(t)
	server := NewDiscoveryServer(t, Engines(300))
	sizes := []int{0, 500, 1000, 2000}
	var all []*Process
	var groups []*sessions
	for _, n := range sizes {
		p := h.Router(Config{
			Name: fmt.Sprint("q", n), Routers: 600, Discovery: server.Addr, Engines: Engines(300), Tenants: 4,
			Sockets: sessionSockets,
		})
		p.Ready()
		groups, all = append(groups, openSessions(t, p, n)), append(all, p.Process)
	}
	// A router closes a session that is idle for 10 s. Therefore the sessions send pings between the measured spans.
	const spans = 4
	cpu, mb := make([]float64, len(sizes)), make([]float64, len(sizes))
	for range spans {
		for _, c := range groups {
			c.each(t, len(c.clients), func(i int) error { return c.clients[i].Ping() })
		}
		percent, resident := measureCosts(6*time.Second, all...)
		for i := range sizes {
			cpu[i] += percent[i] / spans
			mb[i] = max(mb[i], resident[i])
		}
	}
	conditions := "silent sessions that have logged in and pinged; limits.sockets 6,000; 300 engines; " +
		"mean of 4 spans of 6 s"
	rows.add("router-cpu-by-sessions-at-rest", "router", "sessions at rest", cpuPercent, pairs(sizes, cpu), conditions)
	rows.add("router-memory-by-sessions-at-rest", "router", "sessions at rest", megabytes, pairs(sizes, mb),
		conditions+", the most")
}

// querySteadily sends lookups over the sessions at a constant rate for a span of time, and returns the number of
// responses. It fails the test if the number of errors is more than a twentieth of the number of served lookups.
func (c *sessions) querySteadily(t *testing.T, perSecond float64, span time.Duration) (answered int64) {
	t.Helper()
	var served, failed atomic.Int64
	var running sync.WaitGroup
	var lastError atomic.Pointer[string]
	count := len(c.clients)
	interval := time.Duration(float64(count) / perSecond * float64(time.Second))
	start := time.Now()
	for i, client := range c.clients {
		running.Go(func() {
			for at := interval * time.Duration(i) / time.Duration(count); at < span; at += interval {
				<-time.After(time.Until(start.Add(at)))
				if err := client.Query(c.ids.Add(1)); err != nil {
					text := err.Error()
					lastError.Store(&text)
					failed.Add(1)
				} else {
					served.Add(1)
				}
			}
		})
	}
	running.Wait()
	if failed.Load()*20 > served.Load() {
		t.Fatalf("%d sessions: %d served, %d failed: %s", count, served.Load(), failed.Load(), *lastError.Load())
	}
	return served.Load() + failed.Load()
}

// Measures the cost of statements by their rate, sent over few sessions, and the cost of sessions by their number, each
// of which sends a query every 4.4 s.
func TestSlopesOfStatements(t *testing.T) {
	rows, h := requireSlopes(t), New(t)
	run := func(name string, sessions int, perSecond float64) (rate, cpu, mb, bytes float64) {
		t.Helper()
		engines := NewStubEngines(t, 60)
		server := NewDiscoveryServer(t, engines.Engines)
		p := h.Router(Config{
			Name: name, Routers: 20, Discovery: server.Addr, Engines: engines.Engines, Tenants: 4,
			Sockets: sessionSockets,
		})
		p.Ready()
		defer p.Kill()
		c := openSessions(t, p, sessions)
		defer c.close()
		c.querySteadily(t, perSecond, 4*time.Second) // establishes the connections to engines
		from, wire := p.Usage(), engines.Meter.WireBytes()+c.meter.WireBytes()
		n := c.querySteadily(t, perSecond, 12*time.Second)
		to := p.Usage()
		took := to.At.Sub(from.At).Seconds()
		return float64(n) / took, Percent(from, to), to.MB(), float64(engines.Meter.WireBytes()+c.meter.WireBytes()-wire) / took
	}
	var cpu, mb, bytes [][2]float64
	for _, perSecond := range []float64{25, 50, 100, 200, 450, 900} {
		rate, percent, resident, wire := run(fmt.Sprint("v", perSecond), 64, perSecond)
		cpu = append(cpu, [2]float64{rate, percent})
		mb = append(mb, [2]float64{rate, resident})
		bytes = append(bytes, [2]float64{rate, wire})
	}
	conditions := "64 sessions; look-ups that 60 stand-in engines answer at once with one row; " +
		"the rate is what was answered; 12 s"
	rows.add("router-cpu-by-statements", "router", "statements a second", cpuPercent, cpu, conditions)
	rows.add("router-memory-by-statements", "router", "statements a second", megabytes, mb, conditions)
	rows.add("router-bytes-by-statements", "router", "statements a second", bytesPerSecond, bytes,
		conditions+"; clients' and engines' links together")

	cpu, mb = nil, nil
	for _, sessions := range []int{250, 500, 1000, 2000} {
		_, percent, resident, _ := run(fmt.Sprint("w", sessions), sessions, float64(sessions)*0.225)
		cpu, mb = append(cpu, [2]float64{float64(sessions), percent}), append(mb, [2]float64{float64(sessions), resident})
	}
	conditions = "each asks a look-up every 4.4 s, which is 450 a second from 2,000; 60 stand-in engines; " +
		"limits.sockets 6,000; 12 s"
	rows.add("router-cpu-by-busy-sessions", "router", "busy sessions", cpuPercent, cpu, conditions)
	rows.add("router-memory-by-busy-sessions", "router", "busy sessions", megabytes, mb, conditions)
}

// Measures the cost of clients that reconnect to a restarted router, by their number.
func TestSlopesOfClientsThatComeBack(t *testing.T) {
	rows, h := requireSlopes(t), New(t)
	server := NewDiscoveryServer(t, Engines(300))
	sizes := []int{250, 500, 1000, 2000}
	var cpu, bytes, took []float64
	for _, n := range sizes {
		p := h.Router(Config{
			Name: fmt.Sprint("b", n), Routers: 600, Discovery: server.Addr, Engines: Engines(300), Tenants: 4,
			Sockets: sessionSockets,
		})
		p.Ready()
		from := p.Usage()
		c := openSessions(t, p, n)
		to := p.Usage()
		cpu, bytes = append(cpu, (to.CPU-from.CPU).Seconds()*1000), append(bytes, float64(c.meter.WireBytes()))
		took = append(took, to.At.Sub(from.At).Seconds()*1000)
		c.close()
		p.Kill()
	}
	conditions := "clients dial at once, 64 at a time, log in and ping; a router of 300 engines that has just become ready"
	rows.add("return-cpu-by-clients", "router", "clients that come back", milliseconds, pairs(sizes, cpu), conditions)
	rows.add("return-bytes-by-clients", "router", "clients that come back", "bytes with headers, both directions",
		pairs(sizes, bytes), conditions)
	rows.add("return-time-by-clients", "router", "clients that come back", "ms until the last is served",
		pairs(sizes, took),
		conditions+"; wall time on a machine shared with other work")
}
