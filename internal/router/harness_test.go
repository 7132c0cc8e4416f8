package router

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// engines is a stand-in for the engine client.
type engines struct {
	calls     []Call
	done      []func(End)
	gone      []Engine
	withheld  []Engine
	cancelled []string
	unbegun   map[string]bool // ids of which nothing is written
	recalled  []string
}

func (e *engines) Start(c Call, done func(End)) Attempt {
	e.calls, e.done = append(e.calls, c), append(e.done, done)
	return out{noAttempt{}, e, c.ID}
}

type out struct {
	noAttempt
	e  *engines
	id string
}

func (o out) Cancel() { o.e.cancelled = append(o.e.cancelled, o.id) }
func (o out) CancelUnsent() bool {
	if !o.e.unbegun[o.id] {
		return false
	}
	o.e.recalled = append(o.e.recalled, o.id)
	return true
}
func (e *engines) Forget(g Engine)          { e.gone = append(e.gone, g) }
func (e *engines) CancelUnstarted(g Engine) { e.withheld = append(e.withheld, g) }

// asker keeps the answers to one request.
type asker struct{ answers []string }

func (a *asker) Served(*Result)      { a.answers = append(a.answers, "served") }
func (a *asker) Rejected(ms float64) { a.answers = append(a.answers, fmt.Sprintf("refused %.0f", ms)) }

func (a *asker) Failed(why Reason) { a.answers = append(a.answers, fmt.Sprintf("failed %d", why)) }

type bed struct {
	t       *testing.T
	now     *clock.Manual
	loop    *Loop
	core    *Core
	engines *engines
	ids     int
}

func newBed(t *testing.T, change ...func(*dispatch.Config)) *bed {
	t.Helper()
	b := &bed{t: t, now: &clock.Manual{MS: 1e12}, engines: &engines{}}
	b.loop = NewLoop(b.now)
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
	b.core, err = New(b.loop, cfg, b.engines, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	b.list(dispatch.ListCached, dispatch.Live, "10.0.0.1:1")
	return b
}

func (b *bed) list(mode dispatch.ListMode, state dispatch.EndpointState, addr string) {
	b.loop.Post(func() {
		b.core.UpdateEndpoints(dispatch.EndpointList{Mode: mode, Endpoints: []dispatch.Endpoint{{ID: 7, Kind: "k", CapacityWeight: 1, State: state}}},
			map[dispatch.EngineID]string{7: addr})
	})
	b.run()
}

func (b *bed) run() {
	for b.loop.Step() {
	}
}

func (b *bed) wait(ms float64) {
	for end := b.now.MS + ms; b.now.MS < end; b.now.MS++ {
		b.run()
	}
}

// ask submits a request; sent is how long ago its client sent it.
func (b *bed) ask(class string, budget, sent float64) (*asker, Handle) {
	b.t.Helper()
	b.ids++
	a := &asker{}
	var h Handle
	b.loop.Post(func() {
		var err error
		h, err = b.core.Submit(&Request{
			ID: fmt.Sprintf("%016x", b.ids), Class: class, Statement: "S",
			SentAtMS: b.now.MS - sent, BudgetMS: budget,
		}, a)
		if err != nil {
			b.t.Error(err)
		}
	})
	b.run()
	return a, h
}

func (b *bed) end(i int, e End) {
	b.loop.Post(func() { b.engines.done[i](e) })
	b.run()
}
