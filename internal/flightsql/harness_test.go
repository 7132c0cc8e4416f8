package flightsql

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	fsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// engines is a stand-in for the engine client: the statement says how an attempt ends; "hang" has no end.
type engines struct {
	loop *router.Loop
	mu   sync.Mutex
	runs map[string]int
}

func (e *engines) Forget(router.Engine) {}

func (e *engines) CancelUnstarted(router.Engine) {}

func (e *engines) Start(c router.Call, done func(router.End)) router.Attempt {
	e.mu.Lock()
	e.runs[c.ID]++
	e.mu.Unlock()
	end, ok := map[string]router.End{
		"serve": {Outcome: dispatch.Served, Result: &router.Result{
			Columns: []string{"a"}, ChangedRows: 3,
			Cells: []router.Cell{{Text: "x"}, {Null: true}},
		}},
		"full":  {Outcome: dispatch.EngineFull},
		"reset": {Outcome: dispatch.ConnectionReset},
	}[c.Statement]
	if ok {
		e.loop.Post(func() { done(end) })
	}
	return out{}
}

func (e *engines) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *engines) reset(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, id)
}

type out struct{}

func (out) SetPriority(int) {}

func (out) Cancel() {}

func (out) CancelUnsent() bool { return false }

func (out) Abandon() {}

func newFront(t *testing.T) (*Front, *engines, *fsql.Client) {
	t.Helper()
	loop := router.NewLoop(clock.NewSystem())
	e := &engines{loop: loop, runs: map[string]int{}}
	core, err := router.New(loop, dispatch.Config{
		Routers: 1, Tick: 5 * time.Millisecond, MaxAttempts: 1,
		RetryAfterAllowed: true, MaxRetryAfter: 2 * time.Second, Kinds: []dispatch.EngineKind{{Name: "k", Cores: 8, MemoryMB: 8192}},
		Classes: []dispatch.Class{
			{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1},
			{
				Name: "load", LatencyObjective: 3 * time.Second, Deadline: 25 * time.Second, Threads: 2, LateWeightShare: 0.5,
				Semantics: dispatch.AtMostOnce,
			},
		},
	}, e, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListCached, Endpoints: []dispatch.Endpoint{{ID: 7, Kind: "k", CapacityWeight: 1}}},
		map[dispatch.EngineID]string{7: "127.0.0.1:1"})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := NewFront(Config{MaxConnections: 8}, core, loop, 5, 0, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	f.Serve(lis)
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
	return f, e, c
}

// call gives a context with fields, as name and value in turn, and a deadline unless it is 0.
func call(t *testing.T, deadline time.Duration, fields ...string) context.Context {
	t.Helper()
	ctx := context.Background()
	if deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadline)
		t.Cleanup(cancel)
	}
	return metadata.AppendToOutgoingContext(ctx, fields...)
}
