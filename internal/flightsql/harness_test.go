package flightsql

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	fsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// scriptedEngines is an engine client whose attempts end with the outcome that their statement names. Attempts with any
// other statement, such as "hang", do not end.
type scriptedEngines struct {
	loop *router.Loop
	mu   sync.Mutex
	runs map[string]int // number of attempts by request id
}

func (e *scriptedEngines) Forget(router.Engine) {}

func (e *scriptedEngines) CancelUnstarted(router.Engine) {}

func (e *scriptedEngines) Start(call router.Call, onEnd func(router.End)) router.Attempt {
	e.mu.Lock()
	e.runs[call.ID]++
	e.mu.Unlock()
	end, ok := map[string]router.End{
		"serve": {Outcome: dispatch.Served, Result: &router.Result{
			Columns: []string{"a"}, ChangedRows: 3,
			Cells: []router.Cell{{Text: "x"}, {Null: true}},
		}},
		"full":  {Outcome: dispatch.EngineFull},
		"reset": {Outcome: dispatch.ConnectionReset},
	}[call.Statement]
	if ok {
		e.loop.Post(func() { onEnd(end) })
	}
	return fakeAttempt{}
}

// runsOf returns the number of attempts of a request.
func (e *scriptedEngines) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

type fakeAttempt struct{}

func (fakeAttempt) SetPriority(int) {}

func (fakeAttempt) Cancel() {}

func (fakeAttempt) CancelUnsent() bool { return false }

func (fakeAttempt) Abandon() {}

// newFront starts a front with scripted engines, and connects a client to it.
func newFront(t *testing.T) (*Front, *scriptedEngines, *fsql.Client) {
	t.Helper()
	loop := router.NewLoop(clock.NewSystem())
	engines := &scriptedEngines{loop: loop, runs: map[string]int{}}
	core, err := router.New(loop, dispatch.Config{
		Routers: 1, Tick: 5 * time.Millisecond, MaxAttempts: 1,
		RetryAfter: dispatch.RetryAfter{Allowed: true, Max: 2 * time.Second},
		Kinds:      []dispatch.EngineKind{{Name: "k", Cores: 8, MemoryMB: 8192}},
		Classes: []dispatch.Class{
			{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1},
			{
				Name: "load", LatencyObjective: 3 * time.Second, Deadline: 25 * time.Second, Threads: 2,
				LateWeightShare: 0.5, Semantics: dispatch.AtMostOnce,
			},
		},
	}, engines, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	core.UpdateEndpoints(
		dispatch.EndpointList{
			Mode: dispatch.ListCached, Endpoints: []dispatch.Endpoint{{ID: 7, Kind: "k", CapacityWeight: 1}},
		},
		map[dispatch.EngineID]string{7: "127.0.0.1:1"})
	f, err := NewFront(Config{MaxConnections: testMaxConnections}, core, loop, 5, 0, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	f.Serve(listen(t))
	c, err := fsql.NewClient(f.Addr(), nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	end := routertest.RunLoop(loop)
	t.Cleanup(func() {
		_ = c.Close()
		f.Stop()
		end()
	})
	return f, engines, c
}

// callCtx returns a context with fields, given as names and values in turn, and a timeout unless it is 0.
func callCtx(t *testing.T, timeout time.Duration, fields ...string) context.Context {
	t.Helper()
	ctx := context.Background()
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		t.Cleanup(cancel)
	}
	return metadata.AppendToOutgoingContext(ctx, fields...)
}

// listen returns a listener that is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return lis
}

// serveEngine serves a fake engine until the test ends, and returns its address.
func serveEngine(t *testing.T, engine flight.FlightServer) string {
	t.Helper()
	lis := listen(t)
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, engine)
	go func() { _ = server.Serve(lis) }() // returns when Stop is called
	t.Cleanup(server.Stop)
	return lis.Addr().String()
}

// newEngineClient returns a client for engines, and its loop, which runs until the test ends.
func newEngineClient(t *testing.T, connectTimeoutMS float64, maxDedicated int) (*Client, *router.Loop) {
	t.Helper()
	loop := router.NewLoop(clock.NewSystem())
	c, err := NewClient(loop, connectTimeoutMS, maxDedicated, maxStreamBytes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(routertest.RunLoop(loop))
	return c, loop
}

// engineAt returns an engine with an address.
func engineAt(address string) router.Engine { return router.Engine{ID: 7, Address: address} }
