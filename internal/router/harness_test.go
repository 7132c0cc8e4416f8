package router

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// fakeEngineClient is an EngineClient that records how it is called. Its attempts end when the test calls done.
type fakeEngineClient struct {
	calls             []Call
	done              []func(End) // the done function of each call
	forgotten         []Engine
	unstartedCanceled []Engine
	canceled          []string        // request ids
	unsent            map[string]bool // ids of requests whose attempts count as not sent
	unsentCanceled    []string        // request ids
}

func (c *fakeEngineClient) Start(call Call, done func(End)) Attempt {
	c.calls, c.done = append(c.calls, call), append(c.done, done)
	return fakeAttempt{client: c, id: call.ID}
}

func (c *fakeEngineClient) Forget(engine Engine) { c.forgotten = append(c.forgotten, engine) }

func (c *fakeEngineClient) CancelUnstarted(engine Engine) {
	c.unstartedCanceled = append(c.unstartedCanceled, engine)
}

// fakeAttempt is an attempt of fakeEngineClient.
type fakeAttempt struct {
	unstartedAttempt
	client *fakeEngineClient
	id     string // client's id of the request
}

func (a fakeAttempt) Cancel() { a.client.canceled = append(a.client.canceled, a.id) }

func (a fakeAttempt) CancelUnsent() bool {
	if !a.client.unsent[a.id] {
		return false
	}
	a.client.unsentCanceled = append(a.client.unsentCanceled, a.id)
	return true
}

// recordingHandler is a ResponseHandler that records the answers to one request as text.
type recordingHandler struct{ answers []string }

func (r *recordingHandler) Served(*Result) { r.answers = append(r.answers, "served") }

func (r *recordingHandler) Rejected(ms float64) {
	r.answers = append(r.answers, fmt.Sprintf("rejected %.0f", ms))
}

func (r *recordingHandler) Failed(reason Reason) {
	r.answers = append(r.answers, fmt.Sprintf("failed %d", reason))
}

// harnessEngine is the engine that each harness lists.
const harnessEngine dispatch.EngineID = 7

// harness runs a Core with one engine and a fake engine client on a clock that the test sets.
type harness struct {
	t      *testing.T
	clock  *clock.Manual
	loop   *Loop
	core   *Core
	client *fakeEngineClient
	lastID int // number of the last request that submit submitted
}

// newHarness returns a harness whose engine is live. The functions modify its configuration before the start.
func newHarness(t *testing.T, change ...func(*dispatch.Config)) *harness {
	t.Helper()
	h := &harness{t: t, clock: &clock.Manual{MS: 1e12}, client: &fakeEngineClient{}}
	h.loop = NewLoop(h.clock)
	cfg := dispatch.Config{
		Routers: 1, Tick: 5 * time.Millisecond, MaxAttempts: 2,
		Features:   dispatch.EngineFeatures{Priorities: true},
		Tenants:    []dispatch.Tenant{{Name: "south"}},
		RetryAfter: dispatch.RetryAfter{Allowed: true, Max: 2 * time.Second},
		Kinds:      []dispatch.EngineKind{{Name: "k", Cores: 8, MemoryMB: 8192}},
		Classes: []dispatch.Class{
			{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1},
			{
				Name: "load", LatencyObjective: 3 * time.Second, Deadline: 25 * time.Second, Threads: 2,
				LateWeightShare: 0.5, Semantics: dispatch.AtMostOnce,
			},
		},
	}
	for _, apply := range change {
		apply(&cfg)
	}
	var err error
	h.core, err = New(h.loop, cfg, h.client, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	h.updateEndpoint(dispatch.ListCached, dispatch.Live, "10.0.0.1:1")
	return h
}

// updateEndpoint applies a list with the engine in that state at that address, in a step of its own.
func (h *harness) updateEndpoint(mode dispatch.ListMode, state dispatch.EndpointState, address string) {
	h.loop.Post(func() { h.applyEndpoint(mode, state, address) })
	h.runLoop()
}

// applyEndpoint applies a list with the engine in that state at that address. It must be called in the loop.
func (h *harness) applyEndpoint(mode dispatch.ListMode, state dispatch.EndpointState, address string) {
	endpoint := dispatch.Endpoint{ID: harnessEngine, Kind: "k", CapacityWeight: 1, State: state}
	list := dispatch.EndpointList{Mode: mode, Endpoints: []dispatch.Endpoint{endpoint}}
	h.core.UpdateEndpoints(list, map[dispatch.EngineID]string{harnessEngine: address})
}

// runLoop executes steps until nothing is left to do at the current time.
func (h *harness) runLoop() {
	for h.loop.Step() {
	}
}

// advance moves the clock forward by ms, one millisecond at a time, and runs the loop at each.
func (h *harness) advance(ms float64) {
	for end := h.clock.MS + ms; h.clock.MS < end; h.clock.MS++ {
		h.runLoop()
	}
}

// submit submits a request with a new id, which its client sent ageMS milliseconds ago.
func (h *harness) submit(class string, budgetMS, ageMS float64) (*recordingHandler, Handle) {
	h.t.Helper()
	h.lastID++
	handler := &recordingHandler{}
	var handle Handle
	h.loop.Post(func() {
		var err error
		handle, err = h.core.Submit(&Request{
			ID: h.requestID(), Class: class, Statement: "S",
			SentAtMS: h.clock.MS - ageMS, BudgetMS: budgetMS,
		}, handler)
		if err != nil {
			h.t.Error(err)
		}
	})
	h.runLoop()
	return handler, handle
}

// requestID returns the id of the last request that submit submitted.
func (h *harness) requestID() string { return fmt.Sprintf("%016x", h.lastID) }

// endAttempt ends the attempt with that index in the fake engine client's calls.
func (h *harness) endAttempt(call int, end End) {
	h.loop.Post(func() { h.client.done[call](end) })
	h.runLoop()
}
