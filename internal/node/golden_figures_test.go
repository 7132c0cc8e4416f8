package node

import (
	"log/slog"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"windflow/internal/bgp"
	"windflow/internal/configclient"
	"windflow/internal/decide/hotrestart"
	"windflow/internal/flightsql"
	"windflow/internal/golden"
	"windflow/internal/installation"
	"windflow/internal/record"
	"windflow/internal/routertest"
	"windflow/internal/settings"
)

// allParts returns settings that enable every part. The addresses in them refuse connections.
func allParts(t *testing.T) *installation.Settings {
	t.Helper()
	records := record.DefaultConfig
	records.Dir = t.TempDir()
	refusingAddress := routertest.RefusingAddress(t, [4]byte{127, 0, 0, 1})
	return &installation.Settings{
		FlightSQL: &flightsql.Config{Listen: "127.0.0.1:0", EngineKinds: []string{"arrow"}, MaxConnections: 32},
		BGP: &bgp.Config{
			Peer: refusingAddress, PeerAS: 64512, LocalAS: 64513, RouterID: netip.MustParseAddr("10.0.0.1"),
			Prefixes: []netip.Prefix{netip.MustParsePrefix("10.1.0.1/32")}, NextHop: netip.MustParseAddr("10.0.0.1"),
			HoldTimeS: 90, ConnectRetryS: 120,
		},
		Records: &records,
		Keepers: &configclient.Config{Addresses: []string{refusingAddress}, Dir: t.TempDir(), MaxPollWaitMS: 1000},
	}
}

// startAllParts runs a router that has every part and an admin API, and stops it at the end of the test.
func startAllParts(t *testing.T) *node {
	t.Helper()
	text := []byte(`{"name":"n0","listen":"127.0.0.1:0","control":"127.0.0.1:0","seed":"1f",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"board":"` + startIdleDiscovery(t) + `",
		"known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":1,"complete":true,"members":[` +
		engineEntry(routertest.RefusingAddress(t, [4]byte{127, 0, 0, 1})) + `]}}]},"settings":` + mixedSettings + `}`)
	cfg, err := settings.ParseNode(text)
	if err != nil {
		t.Fatal(err)
	}
	n := newNode(cfg, allParts(t), slog.New(slog.DiscardHandler))
	n.keepers = newKeeperSync(n, n.newReloader(filepath.Join(t.TempDir(), "router.json"), ""), text)
	n.begin(false)
	if n.life.err != nil {
		t.Fatal(n.life.err)
	}
	end := routertest.RunLoop(n.loop)
	t.Cleanup(func() {
		n.life.stop()
		end()
		n.close()
	})
	return n
}

// addedCounters are the counters that the golden files do not have, because they were added later.
var addedCounters = []string{"flightsql.evicted", "flightsql.turned_away", "flightsql.timed_out"}

// withoutAdded returns the names of counters, a line each, without those of addedCounters. It fails the test if one of
// these is not there exactly once.
func withoutAdded(t *testing.T, names string) string {
	t.Helper()
	kept, found := "", map[string]int{}
	for line := range strings.Lines(names) {
		name := strings.TrimSuffix(line, "\n")
		if slices.Contains(addedCounters, name) {
			found[name]++
			continue
		}
		kept += line
	}
	for _, name := range addedCounters {
		if found[name] != 1 {
			t.Errorf("counter %s is listed %d times, want once", name, found[name])
		}
	}
	return kept
}

// The telemetry of a router with every part, and the names of the counters that SHOW STATUS lists and that are logged
// when the process ends, equal the golden files, in the same order, but for counters that were added later. The
// telemetry of a router that serves no client has no value that depends on time. Most counters do, so only their names
// are compared.
func TestGoldenTelemetryAndStatus(t *testing.T) {
	n := startAllParts(t)
	var telemetry, names string
	inLoop(n, func() {
		telemetry = n.admin.Telemetry()
		for _, row := range n.status.rows() {
			names += row[0] + "\n"
		}
	})
	golden.Equal(t, "telemetry.txt", []byte(telemetry))
	golden.Equal(t, "status.txt", []byte(withoutAdded(t, names)))
}

// The names of the phases of a hot restart equal the golden file. They appear in the log, in records, in the message to
// a waiting process, and in the answer of the readiness check of a router that is not ready.
func TestGoldenPhases(t *testing.T) {
	var names strings.Builder
	for p := hotrestart.PhaseFindingPredecessor; p <= hotrestart.PhaseEnded; p++ {
		names.WriteString(p.String() + "\n")
	}
	golden.Equal(t, "phases.txt", []byte(names.String()))
}

// The router of TestGoldenTelemetryAndStatus has every part, and the status lists the counters of each. Guards against
// a part whose names no golden file covers.
func TestGoldenStatusCoversEachPart(t *testing.T) {
	n := startAllParts(t)
	inLoop(n, func() {
		if len(n.parts.all) != len(partConstructors) {
			t.Errorf("the router has %d parts, want %d", len(n.parts.all), len(partConstructors))
		}
		var groups []string
		for _, row := range n.status.rows() {
			group, _, _ := strings.Cut(row[0], ".")
			groups = append(groups, group)
		}
		for _, p := range n.parts.all {
			if p.counters != nil && !slices.Contains(groups, p.counters()[0].name) {
				t.Errorf("the status has no counters of part %s", p.name)
			}
		}
	})
}
