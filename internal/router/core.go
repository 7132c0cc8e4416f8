// Package router is the core: requests, attempts, timers, the list of engines and the counters. It knows no
// wire. Fronts hand it requests and hear of their one final answer; engine clients carry its attempts out;
// every decision is the module's (package dispatch). All of it runs in the goroutine of one Loop.
package router

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// Cell is one value of a row, as text.
type Cell struct {
	Text string
	Null bool
}

// Result is what an engine made: Cells holds the rows one after the other.
type Result struct {
	Columns     []string
	Cells       []Cell
	WorkMS      float64 // that the query needed; 0 if the engine did not tell
	NeedMB      float64
	ChangedRows int64 // rows that an update changed; -1 or 0 if the engine did not tell
}

// MaxResultBytes bounds the text of a result, in bytes.
const MaxResultBytes = 48_000

// Reason tells a front why a request failed.
type Reason int

// Reasons for a failure.
const (
	ReasonEngine   Reason = iota // an engine failed, or may have begun what must not run twice
	ReasonDeadline               // the client's time is up
)

// ResponseHandler is the front's end of a request. Exactly one of its methods is called, once, unless the front takes
// the request back with Abandon.
type ResponseHandler interface {
	Served(*Result)
	Rejected(backoffMS float64)
	Failed(Reason)
}

// Counters count what the core took in, sent and answered.
type Counters struct {
	Received        int64    `status:"taken"`
	Served          int64    `status:"served"`
	Rejected        int64    `status:"refused"`
	Failed          int64    `status:"failed"`
	Abandoned       int64    `status:"abandoned"`
	Malformed       int64    `status:"malformed"`
	Attempts        int64    `status:"sends"`
	Expired         int64    `status:"late"`
	Overdue         int64    `status:"overdue"`
	EndpointUpdates int64    `status:"lists"`
	Outcomes        [8]int64 `status:"ends"` // by outcome
	Events          int64    `status:"handled"`
	Actions         int64    `status:"actions"`
	Steps           int64    `status:"steps"`
	MaxOpen         int64    `status:"max_open"`
	EndsAfterEnd    int64    `status:"after_done"`
}

// ClassCounters count the requests of a class by their answers, and the attempts that were written whole to engines.
type ClassCounters struct{ Served, Rejected, Failed, Forwards int64 }

const (
	// answerMargin is kept before the client's deadline, in milliseconds, so that the final answer is on its
	// wire while the client still waits.
	answerMargin = 30.0
	// guardAfter is when, after the module's end of a request, the core answers in its place. It guards
	// against a request without an answer, whatever the cause; it never fires while the module does its work.
	guardAfter = 15.0
)

type request struct {
	*Request
	key      dispatch.RequestID
	asker    ResponseHandler // nil once the final answer is given or no longer owed
	end      float64
	attempts []*attempt
	out      int
	grant    float64
	priority int
	guard    *Timer
	fresh    bool // the module has not been told yet: it may still send it
}

type attempt struct {
	r         *request
	hop       int
	at        float64
	noted     float64 // when the module was last told of it
	call      Attempt
	timeout   *Timer
	latest    *Timer // at its latest start, where it has one
	ended     bool
	cancelled bool
	alone     bool // see Call
	engine    dispatch.EngineID
	outcome   dispatch.Outcome
}

// Core is the router's state.
type Core struct {
	loop    *Loop
	module  *dispatch.Controller
	client  EngineClient
	log     *slog.Logger
	names   atomic.Pointer[names] // read from any goroutine
	max     int                   // attempts for a request
	alone   bool                  // no two attempts of a request may be out at once
	deletes bool                  // engines may be told to give queries up
	engines map[dispatch.EngineID]Engine
	gone    []dispatch.EngineID          // of engines, until the module has been told
	leaving map[dispatch.EngineID]bool   // engines that drain or are gone by the last word of them
	reports map[dispatch.EngineID]report // of engines in the list
	// noteEvery is the time between notes of attempts that are out, in milliseconds; 0 where engines send none.
	noteEvery float64
	// advice bounds the time to stay away, in milliseconds, by what clients honour; 0 where they honour none.
	advice   func(ms float64) float64
	requests map[dispatch.RequestID]*request
	byID     map[string]*request // the open ones, by the client's id
	events   []dispatch.Event
	words    []dispatch.Event // of engines; they go ahead of all others
	actions  []dispatch.Action
	spent    spent
	seq      uint64
	// Ids, where it is set, hears of ids as they come to be open or spent, or cease to be.
	OnIDChange func(IDChange)
	// Claim, where it is set, asks the other process of this router whether an id may begin here, and calls back in the
	// loop, once: from within with Granted where nobody is to be asked, else later.
	ClaimID func(id string, then func(ClaimReply))
	// Watch, where it is set, hears of requests and attempts; it decides nothing.
	Observer  Observer
	hearing   bool            // see Hear
	fresh     []*request      // taken in since the module was last told
	closeAt   float64         // when the process ends; 0 while that is not known
	elsewhere map[string]bool // ids that are open in another process of this router; see Elsewhere
	Counters  Counters
	ByClass   map[string]*ClassCounters // each class of the settings, from the start
}

// New returns a core for the settings that the module was told.
func New(loop *Loop, cfg dispatch.Config, client EngineClient, log *slog.Logger) (*Core, error) {
	module, err := dispatch.New(cfg)
	if err != nil {
		return nil, err
	}
	c := &Core{
		loop: loop, module: module, client: client, log: log, engines: map[dispatch.EngineID]Engine{}, leaving: map[dispatch.EngineID]bool{},
		requests: map[dispatch.RequestID]*request{}, reports: map[dispatch.EngineID]report{}, byID: map[string]*request{}, spent: spent{at: map[string]int{}},
		ByClass: map[string]*ClassCounters{}, elsewhere: map[string]bool{},
	}
	c.use(cfg)
	loop.AfterStep = c.settle
	return c, nil
}

// Configure has the core and the module go by changed settings. Requests that are open are not touched. It names
// what stays as it was because it can't change while running; an error says that nothing changed.
func (c *Core) Configure(cfg dispatch.Config) (kept []string, err error) {
	now, kept, err := c.module.Configure(cfg)
	if err == nil {
		c.use(now)
	}
	return kept, err
}

func (c *Core) use(cfg dispatch.Config) {
	n := &names{classes: map[string]dispatch.Class{}, tenants: map[string]bool{}}
	for _, k := range cfg.Classes {
		n.classes[k.Name] = k
		if c.ByClass[k.Name] == nil {
			c.ByClass[k.Name] = &ClassCounters{}
		}
	}
	for _, t := range cfg.Tenants {
		n.tenants[t.Name] = true
	}
	c.names.Store(n)
	c.max, c.noteEvery = cfg.MaxAttempts, clock.Millis(cfg.ProgressInterval)
	c.alone, c.deletes = !cfg.HedgingAllowed, cfg.CancelAllowed
	c.advice = func(ms float64) float64 {
		if !cfg.RetryAfterAllowed {
			return 0
		}
		return min(ms, clock.Millis(cfg.MaxRetryAfter))
	}
}

// names are those that the settings give.
type names struct {
	classes map[string]dispatch.Class
	tenants map[string]bool
}

// Class gives a class of the settings; it may be called from anywhere.
func (c *Core) Class(name string) (dispatch.Class, bool) {
	k, ok := c.names.Load().classes[name]
	return k, ok
}

// CheckNames tells whether the settings know what a request names; it may be called from anywhere. An engine can't use a
// request that fails it, and would count what it was sent.
func (c *Core) CheckNames(q *Request) error {
	n := c.names.Load()
	if _, ok := n.classes[q.Class]; !ok {
		return fmt.Errorf("field %s: unknown class %q", FieldClass, clip(q.Class))
	}
	if q.Tenant != "" && len(n.tenants) > 0 && !n.tenants[q.Tenant] {
		return fmt.Errorf("field %s: unknown tenant %q", FieldTenant, clip(q.Tenant))
	}
	return nil
}

// OpenRequests is the number of requests that are owed an answer.
func (c *Core) OpenRequests() int { return len(c.byID) }

// Handle names a request for Abandon.
type Handle struct{ r *request }

// ErrIDInUse says that a request with that id is still open, or may have run and must not run again.
var ErrIDInUse = errors.New("field rid: a request with that id is still open, or may have run")

// Submit takes a request in. An error says that it was malformed and is owed nothing.
func (c *Core) Submit(q *Request, asker ResponseHandler) (Handle, error) {
	err := c.CheckNames(q)
	if err == nil && (c.byID[q.ID] != nil || c.elsewhere[q.ID] || c.spent.has(q.ID)) {
		err = ErrIDInUse
	}
	if err != nil {
		c.Counters.Malformed++
		return Handle{}, err
	}
	class, _ := c.Class(q.Class)
	c.seq++
	c.Counters.Received++
	if c.Observer != nil {
		c.Observer.RequestArrived(q)
	}
	r := &request{
		Request: q, key: dispatch.RequestID(strconv.FormatUint(c.seq, 10)), asker: asker,
		end: q.SentAtMS + q.BudgetMS - answerMargin, priority: 1,
	}
	if c.closeAt > 0 {
		r.end = min(r.end, c.closeAt)
	}
	c.requests[r.key], c.byID[r.ID] = r, r
	c.changed(r.ID, IDOpen)
	c.Counters.MaxOpen = max(c.Counters.MaxOpen, int64(len(c.byID)))
	left := r.end - c.loop.Now()
	if left <= 0 {
		c.Counters.Expired++
	}
	c.guard(r)
	begin := func() {
		r.fresh, c.fresh = true, append(c.fresh, r)
		c.events = append(c.events, dispatch.Arrival{
			Request: r.key, Class: class.Name, Tenant: q.Tenant, TableGroup: q.TableGroup,
			Estimate: clock.Duration(q.EstimateMS), NeedMB: q.NeedMB, TimeLeft: clock.Duration(max(r.end-c.loop.Now(), 0)),
			Resent: q.Retry,
		})
	}
	if class.Semantics == dispatch.AtMostOnce {
		c.claim(r, begin)
	} else {
		begin()
	}
	return Handle{r}, nil
}

func (c *Core) guard(r *request) {
	r.guard.Stop()
	r.guard = c.loop.At(max(r.end, c.loop.Now())+guardAfter, func() { c.overdue(r) })
}

// Abandon says that the client left: no answer is owed any more.
func (c *Core) Abandon(h Handle) {
	r := h.r
	if r == nil || r.asker == nil {
		return
	}
	c.Counters.Abandoned++
	c.finish(r)
	c.events = append(c.events, dispatch.ClientGone{Request: r.key})
	c.watched(r, Answer{Kind: AnswerClientGone})
}

// finish closes a request. Its attempts that have begun go on being reported to the module; those that have not are taken
// back: nobody waits for what they would bring.
func (c *Core) finish(r *request) {
	r.asker = nil
	r.guard.Stop()
	delete(c.byID, r.ID)
	c.changed(r.ID, IDDone)
	for _, a := range r.attempts {
		c.recall(a, dispatch.NotSent, "nobody waits for it any more")
	}
	if r.out == 0 && !r.fresh {
		delete(c.requests, r.key)
	}
}

// overdue answers where the module has not; see guardAfter.
func (c *Core) overdue(r *request) {
	if r.asker == nil {
		return
	}
	c.Counters.Overdue++
	c.log.Error("request overdue: the module gave no answer", "rid", r.ID, "class", r.Class, "out", r.out)
	c.fail(r, ReasonDeadline)
	c.events = append(c.events, dispatch.ClientGone{Request: r.key})
}

func (c *Core) fail(r *request, why Reason) {
	asker := r.asker
	c.finish(r)
	c.Counters.Failed++
	c.ByClass[r.Class].Failed++
	c.watched(r, Answer{Kind: AnswerFailed, Reason: r.why(why)})
	asker.Failed(why)
}

// settle hands all that was gathered to the module and carries out what came back.
func (c *Core) settle() {
	c.Counters.Steps++
	if c.hearing {
		return
	}
	for len(c.events)+len(c.words) > 0 {
		now := clock.Duration(c.loop.Now())
		// What was heard of engines goes first: a query that was gathered ahead of it would be sent by an old view.
		events := append(c.words, c.events...)
		c.events, c.words = nil, nil
		c.actions = c.actions[:0]
		for _, ev := range events {
			c.actions = c.module.Handle(now, ev, c.actions)
		}
		c.Counters.Events += int64(len(events))
		c.Counters.Actions += int64(len(c.actions))
		gone := c.gone
		c.gone = nil
		for _, a := range c.actions {
			c.carryOut(a)
		}
		for _, id := range gone {
			delete(c.engines, id) // ids need not return
			delete(c.leaving, id)
			delete(c.reports, id)
		}
		for _, r := range c.fresh {
			if r.fresh = false; r.asker == nil && r.out == 0 {
				delete(c.requests, r.key)
			}
		}
		c.fresh = c.fresh[:0]
	}
}
