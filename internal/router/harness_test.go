package router

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// fakeEngineClient is a stand-in for the engine client.
type fakeEngineClient struct {
	calls             []Call
	done              []func(End)
	forgotten         []Engine
	unstartedCanceled []Engine
	canceled          []string
	unsent            map[string]bool // ids of which nothing is written
	unsentCanceled    []string
}

func (e *fakeEngineClient) Start(c Call, done func(End)) Attempt {
	e.calls, e.done = append(e.calls, c), append(e.done, done)
	return fakeAttempt{unstartedAttempt{}, e, c.ID}
}

type fakeAttempt struct {
	unstartedAttempt
	client *fakeEngineClient
	id     string
}

func (o fakeAttempt) Cancel() { o.client.canceled = append(o.client.canceled, o.id) }
func (o fakeAttempt) CancelUnsent() bool {
	if !o.client.unsent[o.id] {
		return false
	}
	o.client.unsentCanceled = append(o.client.unsentCanceled, o.id)
	return true
}
func (e *fakeEngineClient) Forget(g Engine) { e.forgotten = append(e.forgotten, g) }
func (e *fakeEngineClient) CancelUnstarted(g Engine) {
	e.unstartedCanceled = append(e.unstartedCanceled, g)
}

// recordingHandler keeps the answers to one request.
type recordingHandler struct{ answers []string }

func (a *recordingHandler) Served(*Result) { a.answers = append(a.answers, "served") }
func (a *recordingHandler) Rejected(ms float64) {
	a.answers = append(a.answers, fmt.Sprintf("refused %.0f", ms))
}

func (a *recordingHandler) Failed(why Reason) {
	a.answers = append(a.answers, fmt.Sprintf("failed %d", why))
}

type harness struct {
	t      *testing.T
	clock  *clock.Manual
	loop   *Loop
	core   *Core
	client *fakeEngineClient
	lastID int
}

func newHarness(t *testing.T, change ...func(*dispatch.Config)) *harness {
	t.Helper()
	b := &harness{t: t, clock: &clock.Manual{MS: 1e12}, client: &fakeEngineClient{}}
	b.loop = NewLoop(b.clock)
	var err error
	cfg := dispatch.Config{
		Routers: 1, Tick: 5 * time.Millisecond, MaxAttempts: 2, Priorities: true,
		Tenants: []dispatch.Tenant{{Name: "south"}}, RetryAfterAllowed: true, MaxRetryAfter: 2 * time.Second, Kinds: []dispatch.EngineKind{{Name: "k", Cores: 8, MemoryMB: 8192}},
		Classes: []dispatch.Class{
			{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1},
			{
				Name: "load", LatencyObjective: 3 * time.Second, Deadline: 25 * time.Second, Threads: 2, LateWeightShare: 0.5,
				Semantics: dispatch.AtMostOnce,
			},
		},
	}
	for _, f := range change {
		f(&cfg)
	}
	b.core, err = New(b.loop, cfg, b.client, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	b.updateEndpoint(dispatch.ListCached, dispatch.Live, "10.0.0.1:1")
	return b
}

func (b *harness) updateEndpoint(mode dispatch.ListMode, state dispatch.EndpointState, addr string) {
	b.loop.Post(func() {
		b.core.UpdateEndpoints(dispatch.EndpointList{Mode: mode, Endpoints: []dispatch.Endpoint{{ID: 7, Kind: "k", CapacityWeight: 1, State: state}}},
			map[dispatch.EngineID]string{7: addr})
	})
	b.runLoop()
}

func (b *harness) runLoop() {
	for b.loop.Step() {
	}
}

func (b *harness) advance(ms float64) {
	for end := b.clock.MS + ms; b.clock.MS < end; b.clock.MS++ {
		b.runLoop()
	}
}

// submit submits a request; sent is how long ago its client sent it.
func (b *harness) submit(class string, budget, sent float64) (*recordingHandler, Handle) {
	b.t.Helper()
	b.lastID++
	a := &recordingHandler{}
	var h Handle
	b.loop.Post(func() {
		var err error
		h, err = b.core.Submit(&Request{
			ID: fmt.Sprintf("%016x", b.lastID), Class: class, Statement: "S",
			SentAtMS: b.clock.MS - sent, BudgetMS: budget,
		}, a)
		if err != nil {
			b.t.Error(err)
		}
	})
	b.runLoop()
	return a, h
}

func (b *harness) endAttempt(i int, e End) {
	b.loop.Post(func() { b.client.done[i](e) })
	b.runLoop()
}
