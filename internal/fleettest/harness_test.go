package fleettest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"windflow/dispatch"
)

const (
	realRouters      = 4
	realFollowers    = 4
	simulatedRouters = 60
	listedEngines    = 120
)

// simulatedSpecs returns the first n simulated routers of a fleet. discovery returns the address of the discovery server
// that a router connects to, and rate is the statements per second that each router submits.
func simulatedSpecs(n, fleetSize int, engines []Engine, rate float64, discovery func(i int) string) []SimulatedRouterSpec {
	list := make([]SimulatedRouterSpec, n)
	for i := range list {
		c := Config{
			Name: fmt.Sprint("h", i), Index: i, Routers: fleetSize, Discovery: discovery(i), Engines: engines,
			Listen: "127.0.0.1:1",
		}
		list[i] = SimulatedRouterSpec{Number: i, Config: c.Text(), StatementsPerSecond: rate, WorkMS: 20}
	}
	return list
}

// Real and simulated routers receive a change of the endpoint list. While half of them are disconnected from the
// discovery server, they receive no change; they catch up after they reconnect. The test checks the harness, and that
// the discovery watcher of a router does not lose changes during a disconnect.
func TestFleetCatchesUpAfterDiscoveryDisconnect(t *testing.T) {
	h := New(t)
	engines := Engines(listedEngines)
	server := NewDiscoveryServer(t, engines)
	relays := []*Relay{NewRelay(t, server.Addr), NewRelay(t, server.Addr)} // each for half of the fleet
	const fleet = realRouters + simulatedRouters
	var routers []*Router
	for i := range realRouters {
		routers = append(routers, h.Router(Config{
			Name: fmt.Sprint("n", i), Index: simulatedRouters + i, Routers: fleet,
			Discovery: relays[i%2].Addr, Engines: engines,
		}))
	}
	simulated := h.SimulatedRouters(simulatedSpecs(simulatedRouters, fleet, engines, 5,
		func(i int) string { return relays[i%2].Addr }))
	for _, p := range routers {
		p.Ready()
	}
	server.AwaitConnections(t, fleet)

	draining := engines[0]
	draining.State = dispatch.Draining
	number := server.Change(draining)
	simulated.AwaitList(number)
	for _, p := range routers {
		p.Await(LineEndpointEvent, 1)
	}

	relays[0].Cut()
	server.AwaitConnections(t, fleet/2)
	removed := engines[1]
	removed.State = dispatch.Removed
	number = server.Change(removed)
	simulated.Await(func(state map[int]*RouterStatus) string {
		for n, s := range state {
			if n%2 == 1 && s.LastEvent < number {
				return fmt.Sprintf("simulated router %d is at event %d, want %d", n, s.LastEvent, number)
			}
			if n%2 == 0 && s.LastEvent >= number {
				return fmt.Sprintf("simulated router %d received event %d over a link that was cut", n, s.LastEvent)
			}
		}
		return ""
	})
	relays[0].Heal()
	simulated.AwaitList(number)
	server.AwaitConnections(t, fleet)
	for _, p := range routers {
		p.Await(LineEndpointEvent, 2)
	}
	if sum := simulated.Totals(); sum.Engines != simulatedRouters*(listedEngines-1) || sum.Served == 0 || sum.Failed > 0 {
		t.Errorf("totals %+v, want %d engines in all lists, some statements served and none failed", sum,
			simulatedRouters*(listedEngines-1))
	}
	// A complete list replaces the lists of the routers.
	number = server.Replace(engines[10:])
	simulated.AwaitList(number)
	if sum := simulated.Totals(); sum.Engines != simulatedRouters*(listedEngines-10) {
		t.Errorf("totals %+v, want %d engines in all lists", sum, simulatedRouters*(listedEngines-10))
	}
}

// Watchers close a connection on which the server stops sending without closing it, and reconnect. Otherwise a router
// would not notice that it receives no changes any more.
func TestWatchersDisconnectFromSilentServer(t *testing.T) {
	h := New(t)
	engines := Engines(30)
	server := NewDiscoveryServer(t, engines)
	relay := NewRelay(t, server.Addr)
	simulated := h.SimulatedRouters(simulatedSpecs(8, 8, engines, 0, func(int) string { return relay.Addr }))
	server.AwaitConnections(t, 8)
	relay.Blackhole(Downstream)
	before := server.Accepted.Load()
	number := server.Change(ToggledEngine(engines, 3))
	for server.Accepted.Load() < before+8 { // the server's channel is closed when a connection opens or closes
		server.mu.Lock()
		changed := server.changed
		server.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(WaitTimeout):
			t.Fatal("the watchers do not reconnect when the server stops sending")
		}
	}
	relay.Heal()
	simulated.AwaitList(number)
}

// A router writes its readiness line, and only one, once it accepts clients: a client that connects after that line can
// log in.
func TestReadyRouterAcceptsClients(t *testing.T) {
	h := New(t)
	server := NewDiscoveryServer(t, nil)
	for i := range 3 {
		p := h.Router(Config{Name: fmt.Sprint("n", i), Discovery: server.Addr, Engines: Engines(30)})
		if details := p.Ready(); details != "" {
			t.Errorf("the readiness line has the details %q, want none", details)
		}
		c, err := Dial(p.Listen)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Ping(); err != nil {
			t.Error(err)
		}
		_ = c.Close()
		if _, open := <-p.ready; open {
			t.Error("the router wrote more than one readiness line")
		}
	}
}

// A router does not start with an invalid readiness descriptor, and the error names the environment variable.
func TestInvalidReadinessDescriptorIsRejected(t *testing.T) {
	h := New(t)
	server := NewDiscoveryServer(t, nil)
	c := Config{Name: "n0", Listen: FreeAddress(t), Discovery: server.Addr}
	path := filepath.Join(h.Dir, "n0.json")
	if err := os.WriteFile(path, c.Text(), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(Programs(t), "windflow"))
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "TMPDIR="+h.Dir, "WINDFLOW_READY_FD=two")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), `WINDFLOW_READY_FD: "two" is no descriptor`) {
		t.Errorf("the router ended with error %v, want one that names WINDFLOW_READY_FD in the output:\n%s", err, out)
	}
}

// The processor time that Usage reads agrees with utime and stime in /proc, which have a resolution of 10 ms.
func TestUsageMatchesProcStat(t *testing.T) {
	h := New(t)
	p := h.Router(Config{Name: "n0", Discovery: NewDiscoveryServer(t, nil).Addr, Engines: Engines(300), Tenants: 1000})
	p.Ready()
	for i := range 40 {
		p.Reload()
		p.Await(LineReloaded, i+1)
	}
	before := p.Usage()
	n, err := ticks(p.PID)
	if err != nil {
		t.Fatal(err)
	}
	after := p.Usage()
	accounted := time.Duration(n) * 10 * time.Millisecond
	if accounted < before.CPU-20*time.Millisecond || accounted > after.CPU+10*time.Millisecond ||
		before.CPU < 20*time.Millisecond {
		t.Errorf("processor time in /proc is %v, Usage has %v before and %v after", accounted, before.CPU, after.CPU)
	}
	if before.Resident < 5<<20 || before.Resident > 500<<20 {
		t.Errorf("%d bytes are resident, want 5 MB to 500 MB", before.Resident)
	}
}

// No program links the test harness, which would bring test code into production.
func TestNoProgramLinksTheHarness(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "windflow/cmd/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(out), "windflow/internal/node\n") ||
		strings.Contains(string(out), "windflow/internal/fleettest\n") {
		t.Errorf("the programs depend on\n%s", out)
	}
}
