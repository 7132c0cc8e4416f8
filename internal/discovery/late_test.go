package discovery_test

import (
	"log/slog"
	"testing"
	"time"

	"windflow/internal/clock"
	"windflow/internal/discovery"
	"windflow/internal/fleettest"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// Guards against a drain that a router never hears of, on real sockets: the discovery server is sound, and what it sends
// arrives 3 s late on each connection, from the first one on.
func TestDrainOnLatePathIsHeard(t *testing.T) {
	const lateness, told = 3 * time.Second, 7 * time.Second
	engines := fleettest.Engines(2)
	server := fleettest.NewDiscoveryServer(t, engines)
	server.SetLateness(lateness)
	loop := router.NewLoop(clock.NewSystem())
	poller, err := netio.New(loop, "", nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(poller.Stop)
	t.Cleanup(routertest.RunLoop(loop))
	heard := make(chan discovery.Update, 16)
	names := discovery.RecordNames{Zones: fleettest.Zones, Kinds: fleettest.Kinds}
	loop.Post(func() {
		discovery.Watch(loop, poller, server.Addr, names, 1, func(u discovery.Update) { heard <- u }, 1,
			slog.New(slog.DiscardHandler))
	})
	server.AwaitConnections(t, 1)
	for _, wait := range []time.Duration{0, 2 * time.Second} { // on a new connection, then on one that has been heard
		time.Sleep(wait)
		engines[0].State++
		server.Change(engines[0])
		select {
		case update := <-heard:
			if got := update.List.Endpoints[0].State; got != engines[0].State {
				t.Errorf("state %v, want %v", got, engines[0].State)
			}
		case <-time.After(told):
			t.Fatalf("an event was not heard within %v", told)
		}
	}
}
