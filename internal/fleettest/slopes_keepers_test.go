package fleettest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"windflow/internal/decide/configlog"
)

// keeperGroup is a fleet of five keepers and the simulated routers that follow them, with the byte counts at the start
// of a measurement.
type keeperGroup struct {
	*configuredFleet
	clientBytes, keeperBytes int64
}

func (g *keeperGroup) processes() (list []*Process) {
	for _, m := range g.keepers.Members {
		list = append(list, m.Process)
	}
	return list
}

// startTraffic records the byte counts at the start of a measurement.
func (g *keeperGroup) startTraffic() {
	g.clientBytes, g.keeperBytes = g.traffic()
}

// traffic returns the bytes so far between followers and keepers, and between keepers.
func (g *keeperGroup) traffic() (followerBytes, peerBytes int64) {
	for _, d := range g.links {
		followerBytes += d.WireBytes()
	}
	return followerBytes, g.keepers.WireBytes()
}

// newKeeperGroup starts a group, and waits until all routers have a first change in force.
func newKeeperGroup(t *testing.T, routers int) *keeperGroup {
	t.Helper()
	g := &keeperGroup{configuredFleet: newConfiguredFleet(t,
		scenarioSize{keepers: 5, simulated: routers, tenants: 4, engines: listedEngines})}
	revision, proposedAt := g.change(0)
	g.await(revision, proposedAt, everyZone, nil)
	return g
}

// measureGroups measures over measuredSpan, for each group, the processor time and memory of the busiest keeper, and the
// mean bytes per second of a router and of a keeper.
func measureGroups(groups []*keeperGroup) (cpu, mb, perRouter, perKeeper []float64) {
	var all []*Process
	for _, g := range groups {
		all = append(all, g.processes()...)
		g.startTraffic()
	}
	began := time.Now()
	percent, resident := measureCosts(measuredSpan, all...)
	took := time.Since(began).Seconds()
	for _, g := range groups {
		n := len(g.keepers.Members)
		cpu, mb = append(cpu, slices.Max(percent[:n])), append(mb, slices.Max(resident[:n]))
		percent, resident = percent[n:], resident[n:]
		followerBytes, peerBytes := g.traffic()
		perRouter = append(perRouter, float64(followerBytes-g.clientBytes)/took/float64(g.size.simulated))
		perKeeper = append(perKeeper, float64(followerBytes-g.clientBytes+2*(peerBytes-g.keeperBytes))/took/float64(n))
	}
	return cpu, mb, perRouter, perKeeper
}

const keeperConditions = "the busiest of 5 keepers; simulated routers follow them by the long poll, " +
	"each change one entry; 20 s"

// Measures the cost of a keeper by the number of routers that follow, while there are no changes.
func TestSlopesOfKeepersByRouters(t *testing.T) {
	rows := requireSlopes(t)
	sizes := []int{60, 150, 300, 600}
	var groups []*keeperGroup
	for _, n := range sizes {
		groups = append(groups, newKeeperGroup(t, n))
	}
	cpu, mb, perRouter, perKeeper := measureGroups(groups)
	rows.add("keeper-cpu-by-routers", "keeper", "routers", cpuPercent, pairs(sizes, cpu),
		keeperConditions+"; nothing changes")
	rows.add("keeper-memory-by-routers", "keeper", "routers", megabytes, pairs(sizes, mb),
		keeperConditions+"; nothing changes")
	rows.add("keeper-bytes-by-routers", "keeper", "routers", bytesPerSecond, pairs(sizes, perKeeper),
		keeperConditions+"; nothing changes; mean of the keepers, links to followers and among keepers")
	rows.add("follower-bytes-by-routers", "router", "routers", bytesPerSecond, pairs(sizes, perRouter),
		keeperConditions+"; nothing changes; mean of the routers")
}

// Measures the cost of keepers and followers in a burst of changes, by the number of routers.
func TestSlopesOfKeepersInABurst(t *testing.T) {
	rows := requireSlopes(t)
	sizes := []int{60, 150, 300, 600}
	var cpu, perRouter, perKeeper []float64
	// One group after the other: in a burst, simulated routers use as much processor time as real ones.
	for _, n := range sizes {
		g := newKeeperGroup(t, n)
		end := g.startChanges(burstRate)
		busiest, _, router, keeper := measureGroups([]*keeperGroup{g})
		end()
		g.close()
		cpu, perRouter, perKeeper = append(cpu, busiest...), append(perRouter, router...), append(perKeeper, keeper...)
	}
	conditions := fmt.Sprintf("%s; %d changes a second", keeperConditions, burstRate)
	rows.add("keeper-cpu-by-routers-in-a-burst", "keeper", "routers", cpuPercent, pairs(sizes, cpu), conditions)
	rows.add("keeper-bytes-by-routers-in-a-burst", "keeper", "routers", bytesPerSecond, pairs(sizes, perKeeper),
		conditions+"; mean of the keepers, links to followers and among keepers")
	rows.add("follower-bytes-by-routers-in-a-burst", "router", "routers", bytesPerSecond, pairs(sizes, perRouter),
		conditions+"; mean of the routers")
}

// Measures the time until the last router has a change in force, by the number of routers.
func TestSlopesOfInForce(t *testing.T) {
	rows := requireSlopes(t)
	const changes = 40
	sizes := []int{60, 150, 300, 600}
	var mean, worst []float64
	for _, n := range sizes {
		g := newKeeperGroup(t, n)
		var sum, most time.Duration
		for i := range changes {
			durations := newDurations()
			revision, proposedAt := g.change(i % g.size.keepers)
			g.await(revision, proposedAt, everyZone, durations)
			last := time.Duration(durations.Max()) * time.Microsecond
			sum, most = sum+last, max(most, last)
		}
		mean, worst = append(mean, (sum/changes).Seconds()*1000), append(worst, most.Seconds()*1000)
		g.close()
	}
	conditions := "5 keepers, simulated routers; 40 changes one after the other, from the operator's call on; " +
		"wall time on a machine shared with other work"
	rows.add("in-force-ms-by-routers", "router", "routers", "ms until the last has it in force, mean of the changes",
		pairs(sizes, mean), conditions)
	rows.add("in-force-worst-ms-by-routers", "router", "routers", "ms until the last has it in force, the slowest change",
		pairs(sizes, worst), conditions)
}

// maxClientChangeRate is the maximum rate of changes per second that a follower receives one by one, because it waits
// 500 ms between two calls that return changes. Its costs grow up to this rate and are constant above it.
const maxClientChangeRate = 2

// Measures the cost of a keeper and of a follower by the rate of changes.
func TestSlopesOfKeepersByChanges(t *testing.T) {
	rows := requireSlopes(t)
	rates := []float64{0, 0.5, 1, maxClientChangeRate, 20}
	var groups []*keeperGroup
	for range rates {
		groups = append(groups, newKeeperGroup(t, 150))
	}
	var ends []func()
	for i, g := range groups {
		ends = append(ends, g.startChanges(rates[i]))
	}
	cpu, mb, perRouter, perKeeper := measureGroups(groups)
	for _, end := range ends {
		end()
	}
	conditions := keeperConditions + "; 150 routers"
	rows.add("keeper-cpu-by-changes", "keeper", "configuration changes a second", cpuPercent, pairs(rates, cpu),
		conditions)
	rows.add("keeper-memory-by-changes", "keeper", "configuration changes a second", megabytes, pairs(rates, mb),
		conditions)
	rows.add("keeper-bytes-by-changes", "keeper", "configuration changes a second", bytesPerSecond,
		pairs(rates, perKeeper),
		conditions+"; mean of the keepers, links to followers and among keepers")
	growing := len(rates) - 1
	rows.add("follower-bytes-by-changes", "router", "configuration changes a second", bytesPerSecond,
		pairs(rates[:growing], perRouter[:growing]),
		fmt.Sprintf("%s; mean of the routers; level past %d changes a second: %.0f at %v", conditions, maxClientChangeRate,
			perRouter[growing], rates[growing]))
}

// startChanges proposes changes at a constant rate, without waiting for the responses, until the returned function is
// called. It fails the test if a change fails or if the reached rate is below 0.9 of the given one.
func (f *configuredFleet) startChanges(perSecond float64) (end func()) {
	if perSecond == 0 {
		return func() {}
	}
	done, ended := make(chan struct{}), make(chan struct{})
	began, n := time.Now(), 0
	go func() {
		defer close(ended)
		var calls sync.WaitGroup
		defer calls.Wait()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			n++
			c := f.nextChange()
			calls.Add(1)
			go func() {
				defer calls.Done()
				if _, _, err := f.keepers.TryChange(0, c); err != nil {
					f.t.Errorf("a change at a rate of %v per second: %v", perSecond, err)
				}
			}()
		}
	}()
	return func() {
		close(done)
		took := time.Since(began).Seconds()
		<-ended
		if made := float64(n) / took; made < 0.9*perSecond {
			f.t.Errorf("%.2f changes a second were proposed, want at least 0.9 of %v", made, perSecond)
		}
	}
}

// Measures the size of a complete configuration for a follower that has none, and the memory of a keeper, by the number
// of tenants that are stored as entries.
func TestSlopesOfAWholeConfiguration(t *testing.T) {
	rows := requireSlopes(t)
	sizes := []int{10, 100, 300, 1000}
	g := newKeeperGroup(t, 6)
	var sent, mb []float64
	put := 0
	for _, n := range sizes {
		for put < n {
			c := configlog.Change{ID: fmt.Sprint("tenants-", put), Put: map[string]json.RawMessage{}}
			for ; put < n && len(c.Put) < 50; put++ {
				c.Put[fmt.Sprintf("/settings/parties/tenant-%05d", put)] = json.RawMessage(`{"quota-rps":11.5,"share":0.25}`)
			}
			revision, proposedAt := g.keepers.Change(0, c)
			g.await(revision, proposedAt, everyZone, nil)
		}
		body, err := json.Marshal(map[string]any{
			"report":  configlog.NewFollower("fresh", fmt.Sprint("fresh-", n)).Status(),
			"wait_ms": 2000,
		})
		if err != nil {
			t.Fatal(err)
		}
		size := 0
		for size == 0 { // the response to the first call of a new name may be 204 without a body
			response, err := httpClient.Post("http://"+g.keepers.Members[0].HTTPAddr+"/v1/follow", "application/json",
				bytes.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || response.StatusCode >= 300 {
				t.Fatalf("/v1/follow: status %d, body %s, error %v; want a status below 300",
					response.StatusCode, text, err)
			}
			size = len(text)
		}
		sent, mb = append(sent, float64(size)), append(mb, g.keepers.Members[0].Usage().MB())
	}
	rows.add("whole-configuration-bytes-by-entries", "keeper", "entries", "bytes of a whole configuration",
		pairs(sizes, sent),
		"the body that a keeper sends to a follower that has none; tenants as entries beside one other")
	rows.add("keeper-memory-by-entries", "keeper", "entries", megabytes, pairs(sizes, mb),
		"the same; after the changes that put them, 50 tenants in each")
}
