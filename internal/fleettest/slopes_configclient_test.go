package fleettest

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"windflow/internal/decide/configlog"
)

// Measures the cost of following the keepers for a router of a fleet of the size to design for, by the rate of changes.
// The rates are at most two per second, because one call returns several changes at higher rates.
func TestSlopesOfAFollowingRouter(t *testing.T) {
	rows := requireSlopes(t)
	rates := []float64{0, 0.25, 0.5, 1, 2}
	engines := Engines(1200)
	server := NewDiscoveryServer(t, engines)
	var routers []*Process
	done := make(chan struct{})
	var results []chan error
	for i, perSecond := range rates {
		c := Config{
			Name: fmt.Sprint("r", i), Index: i, Routers: 600, Discovery: server.Addr, Engines: engines, Tenants: 1000,
			OverQuotaWeight: 0.1,
		}
		h := New(t) // separate for each group: keepers of the same name would share a folder
		k := h.Keepers(3, c)
		c.Installation = map[string]any{"keepers": k.ZoneLinks(t).Section(filepath.Join(h.Dir, "follower"), 0)}
		p := h.Router(c)
		p.Ready()
		change := func(n int) configlog.Change {
			return configlog.Change{ID: fmt.Sprint("pace-", n), Put: map[string]json.RawMessage{
				"/settings/over-share-worth": json.RawMessage(fmt.Sprintf("0.%06d", n+1)),
			}}
		}
		revision, _ := k.Change(0, change(0))
		p.AwaitRevision(revision)
		routers = append(routers, p.Process)
		if perSecond == 0 {
			continue
		}
		result := make(chan error, 1)
		results = append(results, result)
		go func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			for n := 1; ; n++ {
				select {
				case <-done:
					result <- nil
					return
				case <-ticker.C:
				}
				if _, _, err := k.TryChange(0, change(n)); err != nil {
					result <- fmt.Errorf("a change at a rate of %v per second: %w", perSecond, err)
					return
				}
			}
		}()
	}
	cpu, mb := measureCosts(measuredSpan, routers...)
	close(done)
	for _, result := range results {
		if err := <-result; err != nil {
			t.Fatal(err)
		}
	}
	const conditions = "a router of 1,200 engines and 1,000 tenants that follows 3 keepers, " +
		"each change one entry and one call; no clients; 20 s"
	rows.add("router-cpu-by-configuration-changes", "router", "configuration changes a second", cpuPercent,
		pairs(rates, cpu), conditions)
	rows.add("router-memory-by-configuration-changes", "router", "configuration changes a second", megabytes,
		pairs(rates, mb), conditions)
}
