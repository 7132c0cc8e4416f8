package node

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"windflow/dispatch"
	"windflow/internal/installation"
	"windflow/internal/record"
	"windflow/internal/router"
	"windflow/internal/settings"
)

// A router with records enabled writes the changes of engines, the requests by class and tenant, and the log messages,
// but never the text of a statement.
func TestRouterRecords(t *testing.T) {
	one, two := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, one, two)
	dir := filepath.Join(t.TempDir(), "records")
	settingsPath := filepath.Join(t.TempDir(), "windflow.json")
	if err := os.WriteFile(settingsPath, []byte(fmt.Sprintf(`{"records": {"dir": %q}}`, dir)), 0o600); err != nil {
		t.Fatal(err)
	}
	harness.env = append(harness.env, "WINDFLOW_TEST_ROUTER=settings="+settingsPath)
	adminAddress := freePort(t)
	process := harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	c := harness.dial()
	for id := range 50 {
		requireServed(t, c, query("lookup", id+1, "SELECT secret_name FROM donors_1.t"))
	}
	if harness.callAdmin("POST", adminAddress, "/api/exclude/s-00000002") != 200 {
		t.Fatal("the cordon was not accepted")
	}
	_ = c.conn.Close()
	harness.terminate(process)
	files, err := record.SegmentFiles(dir)
	if err != nil {
		t.Fatal(err)
	}
	served, cordons, events := 0, 0, map[string]int{}
	var head record.Header
	read, err := record.ReadSegments(files, func(h *record.Header, r record.Record) error {
		head = *h
		switch r := r.(type) {
		case *record.Interval:
			for _, row := range r.Classes {
				served += row.OnTime + row.Late
			}
		case *record.EngineChange:
			if r.State == record.Cordoned && r.EngineID == "s-00000002" {
				cordons++
			}
		case *record.Event:
			events[r.Name]++
		case *record.Header, *record.RequestFailure, *record.Gap:
		}
		return nil
	})
	if err != nil || read[0].Err != nil || len(read[0].Damage) > 0 {
		t.Fatalf("reading the segments: %v; %+v", err, read)
	}
	if served != 50 || cordons != 1 || events["ready"] != 1 || events["draining"] != 1 || events["operator order"] != 1 {
		t.Errorf("%d requests served, %d cordons, events %v; want 50, 1, and one each of ready, draining and operator order",
			served, cordons, events)
	}
	if head.Router != "n0" || head.Incarnation == 0 || head.WallMS == 0 {
		t.Errorf("header %+v, want router n0, an incarnation and a time", head)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil || strings.Contains(string(text), "secret_name") || strings.Contains(string(text), "donors") {
			t.Error("the records contain the text of a statement, or can't be read:", err)
		}
	}
}

// BenchmarkRecords measures a request through the core of a router without and with records, from its submission to its
// answer by an engine that answers at once.
func BenchmarkRecords(b *testing.B) {
	for _, enabled := range []bool{false, true} {
		b.Run(map[bool]string{false: "off", true: "on"}[enabled], func(b *testing.B) {
			site := &installation.Settings{}
			if enabled {
				cfg := record.DefaultConfig
				cfg.Dir = b.TempDir()
				site.Records = &cfg
			}
			cfg, err := settings.ParseNode([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"1f",
				"limits":{"cores":1,"memory_mb":192,"sockets":1024},"board":"127.0.0.1:1","known":{"rev":1,"notices":[]},
				"settings":%s}`, mixedSettings)))
			if err != nil {
				b.Fatal(err)
			}
			r, err := start(cfg, site, slog.New(slog.DiscardHandler))
			if err != nil {
				b.Fatal(err)
			}
			defer r.close()
			b.ReportAllocs()
			for b.Loop() {
				benchRequest(b, r)
			}
		})
	}
}

// instantEngine is an engine client that serves each attempt at once.
type instantEngine struct{ loop *router.Loop }

func (c instantEngine) CancelUnsent() bool { return false }
func (c instantEngine) Start(_ router.Call, done func(router.End)) router.Attempt {
	c.loop.Post(func() { done(router.End{Outcome: dispatch.Served, Result: &router.Result{WorkMS: 1}}) })
	return c
}
func (instantEngine) SetPriority(int)               {}
func (instantEngine) Cancel()                       {}
func (instantEngine) Abandon()                      {}
func (instantEngine) Forget(router.Engine)          {}
func (instantEngine) CancelUnstarted(router.Engine) {}

// answerCounter counts the answers to a request.
type answerCounter struct{ n int }

func (a *answerCounter) Served(*router.Result) { a.n++ }
func (a *answerCounter) Rejected(float64)      { a.n++ }
func (a *answerCounter) Failed(router.Reason)  { a.n++ }

// lastBenchID is the id of the last request of benchRequest.
var lastBenchID int

// benchRequest submits one request and runs the event loop until it is answered. The first call for a router replaces
// its engines.
func benchRequest(b *testing.B, n *node) {
	b.Helper()
	if n.services.byKind.Default != router.EngineClient(instantEngine{n.loop}) {
		n.services.byKind.Default = instantEngine{n.loop}
		list := dispatch.EndpointList{Mode: dispatch.ListComplete}
		addrs := map[dispatch.EngineID]string{}
		for id := dispatch.EngineID(1); id <= 8; id++ {
			list.Endpoints = append(list.Endpoints, dispatch.Endpoint{ID: id, Zone: "a", Kind: "std", CapacityWeight: 1})
			addrs[id] = "127.0.0.1:1"
		}
		n.services.core.UpdateEndpoints(list, addrs)
		n.loop.Post(func() {})
		n.loop.Step()
	}
	lastBenchID++
	a := &answerCounter{}
	now := n.loop.Now()
	_, err := n.services.core.Submit(&router.Request{
		ID: fmt.Sprintf("%016x", lastBenchID), Class: "lookup", Statement: "SELECT 1", SentAtMS: now,
		BudgetMS: 5000, EstimateMS: 1,
	}, a)
	if err != nil {
		b.Fatal(err)
	}
	n.loop.Post(func() {})
	for range 100 {
		if n.loop.Step(); a.n > 0 {
			return
		}
	}
	b.Fatal("the request was not answered within 100 steps of the event loop")
}
