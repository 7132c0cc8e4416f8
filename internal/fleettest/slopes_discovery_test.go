package fleettest

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"
)

// openWatchers opens n connections to a discovery server as watchers that have event 1. The returned meter counts the
// bytes that the server sends.
func openWatchers(t *testing.T, addr string, n int) *Meter {
	t.Helper()
	m := &Meter{}
	for range n {
		c, err := net.DialTimeout("tcp", addr, WaitTimeout)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := c.Write(binary.BigEndian.AppendUint64(nil, 1)); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, struct{ io.Reader }{meteredConn{c, m}}) }()
	}
	return m
}

// Measures the cost of the harness's discovery server by routers and by changes. Other implementations may have other
// costs.
func TestSlopesOfTheBoard(t *testing.T) {
	rows, h := requireSlopes(t), New(t)
	const commonConditions = "our stand-in board, in a process of its own, followed by bare links that read; " +
		"1,200 engines; 20 s"
	sizes := []int{60, 150, 300, 600}
	rates := []float64{0, 1, 10, 30}
	for _, test := range []struct {
		suffix, x string
		n         int
		load      func(i int) (routers int, perSecond float64)
	}{
		{"by-routers", "routers", len(sizes), func(i int) (int, float64) { return sizes[i], 0 }},
		{"by-routers-at-1-change", "routers", len(sizes), func(i int) (int, float64) { return sizes[i], 1 }},
		{"by-changes", "list changes a second", len(rates), func(i int) (int, float64) { return 300, rates[i] }},
	} {
		var all []*Process
		var meters []*Meter
		var x []float64
		for i := range test.n {
			server := h.DiscoveryProcess(1200)
			routers, perSecond := test.load(i)
			meters, all = append(meters, openWatchers(t, server.Addr, routers)), append(all, server.Process)
			if server.SetChangeRate(perSecond); test.x == "routers" {
				x = append(x, float64(routers))
			} else {
				x = append(x, perSecond)
			}
		}
		from := make([]int64, test.n)
		for i, m := range meters {
			from[i] = m.WireBytes()
		}
		began := time.Now()
		cpu, mb := measureCosts(measuredSpan, all...)
		var bytes []float64
		for _, m := range meters {
			bytes = append(bytes, float64(m.WireBytes()))
		}
		for i := range bytes {
			bytes[i] = (bytes[i] - float64(from[i])) / time.Since(began).Seconds()
		}
		conditions := commonConditions + map[string]string{
			"by-routers": "; no changes", "by-routers-at-1-change": "; one change of one engine a second",
			"by-changes": "; 300 routers, one engine in each change",
		}[test.suffix]
		rows.add("board-cpu-"+test.suffix, "board", test.x, cpuPercent, pairs(x, cpu), conditions)
		rows.add("board-memory-"+test.suffix, "board", test.x, megabytes, pairs(x, mb), conditions)
		rows.add("board-bytes-"+test.suffix, "board", test.x, bytesPerSecond, pairs(x, bytes), conditions)
		for _, p := range all {
			p.Kill()
		}
	}
}
