// Package router is the core: requests, attempts, timers, the list of engines and the counters. It knows no
// wire. Fronts hand it requests and hear of their one final answer; engine clients carry its attempts out;
// every decision is the module's (package brain). All of it runs in the goroutine of one Loop.
package router

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync/atomic"

	"windflow/brain"
	"windflow/internal/clock"
)

// Cell is one value of a row, as text.
type Cell struct {
	Text string
	Null bool
}

// Result is what an engine made: Cells holds the rows one after the other.
type Result struct {
	Columns []string
	Cells   []Cell
	WorkMS  float64 // that the query needed; 0 if the engine did not tell
	NeedMB  float64
	Changed int64 // rows that an update changed; -1 or 0 if the engine did not tell
}

// MaxResult bounds the text of a result, in bytes.
const MaxResult = 48_000

// Reason tells a front why a request failed.
type Reason int

// Reasons for a failure.
const (
	ReasonEngine   Reason = iota // an engine failed, or may have begun what must not run twice
	ReasonDeadline               // the client's time is up
)

// Asker is the front's end of a request. Exactly one of its methods is called, once, unless the front takes
// the request back with Abandon.
type Asker interface {
	Served(*Result)
	Refused(backoffMS float64)
	Failed(Reason)
}

// Engine is an engine as the list names it.
type Engine struct {
	ID   brain.EngineID
	Addr string
	Kind string
}

// Call is one attempt for an engine client to carry out.
type Call struct {
	Engine    Engine
	ID        string
	Class     string
	Statement string
	WaitMS    float64 // how long the router will wait
	GrantMB   float64 // 0: the engine's own choice
	Priority  int
	Update    bool // the client asked for an update, not for rows
	Once      bool // it must not run twice: proof that it never ran is worth a new connection
	// Wrote is called in the loop, once at most, when the last byte of the attempt has left for the engine.
	Wrote func()
}

// End is how an attempt ended; Result is set where Outcome is Served.
type End struct {
	Outcome brain.Outcome
	Result  *Result
	Detail  string // for the log
}

// Attempt is an attempt that is out.
type Attempt interface {
	SetPriority(int)
	// Cancel tells the engine to give the query up; Drop follows.
	Cancel()
	// Drop ends the interest in it: its end is not reported any more.
	Drop()
}

// EngineClient carries attempts out. done is called at most once, in the loop, and never from within Start.
type EngineClient interface {
	Start(call Call, done func(End)) Attempt
	// Forget is told that an engine is gone: connections kept for it are of no more use.
	Forget(Engine)
	// Withhold is told that an engine gets nothing more: each attempt of which nothing was written ends as
	// ConnectFailed. What has been begun goes on.
	Withhold(Engine)
}

// Counters count what the core took in, sent and answered.
type Counters struct {
	Taken, Served, Refused, Failed, Abandoned   int64
	Malformed, Sends, Late, Overdue, Lists      int64
	Ends                                        [8]int64 // by outcome
	Handled, Actions, Steps, MaxOpen, AfterDone int64
}

// ClassCounters count the requests of a class by their answers, and the attempts that were written whole to engines.
type ClassCounters struct{ Served, Refused, Failed, Forwards int64 }

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
	key      brain.RequestID
	asker    Asker // nil once the final answer is given or no longer owed
	end      float64
	attempts []*attempt
	out      int
	grant    float64
	priority int
	guard    *Timer
	fresh    bool // the module has not been told yet: it may still send it
}

type attempt struct {
	r       *request
	hop     int
	at      float64
	call    Attempt
	timeout *Timer
	ended   bool
	engine  brain.EngineID
	outcome brain.Outcome
}

// Core is the router's state.
type Core struct {
	loop     *Loop
	module   *brain.Controller
	client   EngineClient
	log      *slog.Logger
	names    atomic.Pointer[names] // read from any goroutine
	max      int                   // attempts for a request
	engines  map[brain.EngineID]Engine
	gone     []brain.EngineID // of engines, until the module has been told
	requests map[brain.RequestID]*request
	byID     map[string]*request // the open ones, by the client's id
	events   []brain.Event
	actions  []brain.Action
	spent    spent
	seq      uint64
	// Ids, where it is set, hears of ids as they come to be open or spent, or cease to be.
	Ids func(IDChange)
	// Claim, where it is set, asks the other process of this router whether an id may begin here, and calls back in the
	// loop, once: from within with Granted where nobody is to be asked, else later.
	Claim func(id string, then func(Word))
	// Watch, where it is set, hears of requests and attempts; it decides nothing.
	Watch     Watcher
	hearing   bool            // see Hear
	fresh     []*request      // taken in since the module was last told
	closeAt   float64         // when the process ends; 0 while that is not known
	elsewhere map[string]bool // ids that are open in another process of this router; see Elsewhere
	Counters  Counters
	ByClass   map[string]*ClassCounters // each class of the settings, from the start
}

// New returns a core for the settings that the module was told.
func New(loop *Loop, cfg brain.Config, client EngineClient, log *slog.Logger) (*Core, error) {
	module, err := brain.New(cfg)
	if err != nil {
		return nil, err
	}
	c := &Core{loop: loop, module: module, client: client, log: log, engines: map[brain.EngineID]Engine{},
		requests: map[brain.RequestID]*request{}, byID: map[string]*request{}, spent: spent{at: map[string]int{}},
		ByClass: map[string]*ClassCounters{}, elsewhere: map[string]bool{}}
	c.use(cfg)
	loop.Settle = c.settle
	return c, nil
}

// Configure has the core and the module go by changed settings. Requests that are open are not touched. It names
// what stays as it was because it can't change while running; an error says that nothing changed.
func (c *Core) Configure(cfg brain.Config) (kept []string, err error) {
	now, kept, err := c.module.Configure(cfg)
	if err == nil {
		c.use(now)
	}
	return kept, err
}

func (c *Core) use(cfg brain.Config) {
	n := &names{classes: map[string]brain.Class{}, tenants: map[string]bool{}}
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
	c.max = cfg.MaxAttempts
}

// names are those that the settings give.
type names struct {
	classes map[string]brain.Class
	tenants map[string]bool
}

// Class gives a class of the settings; it may be called from anywhere.
func (c *Core) Class(name string) (brain.Class, bool) {
	k, ok := c.names.Load().classes[name]
	return k, ok
}

// Check tells whether the settings know what a request names; it may be called from anywhere. An engine can't use a
// request that fails it, and would count what it was sent.
func (c *Core) Check(q *Request) error {
	n := c.names.Load()
	if _, ok := n.classes[q.Class]; !ok {
		return fmt.Errorf("field %s: unknown class %q", FieldClass, clip(q.Class))
	}
	if q.Tenant != "" && len(n.tenants) > 0 && !n.tenants[q.Tenant] {
		return fmt.Errorf("field %s: unknown tenant %q", FieldTenant, clip(q.Tenant))
	}
	return nil
}

// Open is the number of requests that are owed an answer.
func (c *Core) Open() int { return len(c.byID) }

// Handle names a request for Abandon.
type Handle struct{ r *request }

// ErrInUse says that a request with that id is still open, or may have run and must not run again.
var ErrInUse = errors.New("field rid: a request with that id is still open, or may have run")

// Submit takes a request in. An error says that it was malformed and is owed nothing.
func (c *Core) Submit(q *Request, asker Asker) (Handle, error) {
	err := c.Check(q)
	if err == nil && (c.byID[q.ID] != nil || c.elsewhere[q.ID] || c.spent.has(q.ID)) {
		err = ErrInUse
	}
	if err != nil {
		c.Counters.Malformed++
		return Handle{}, err
	}
	class, _ := c.Class(q.Class)
	c.seq++
	c.Counters.Taken++
	if c.Watch != nil {
		c.Watch.Arrived(q)
	}
	r := &request{Request: q, key: brain.RequestID(strconv.FormatUint(c.seq, 10)), asker: asker,
		end: q.Sent + q.Budget - answerMargin, priority: 1}
	if c.closeAt > 0 {
		r.end = min(r.end, c.closeAt)
	}
	c.requests[r.key], c.byID[r.ID] = r, r
	c.changed(r.ID, IDOpen)
	c.Counters.MaxOpen = max(c.Counters.MaxOpen, int64(len(c.byID)))
	left := r.end - c.loop.Now()
	if left <= 0 {
		c.Counters.Late++
	}
	c.guard(r)
	begin := func() {
		r.fresh, c.fresh = true, append(c.fresh, r)
		c.events = append(c.events, brain.Arrival{Request: r.key, Class: class.Name, Tenant: q.Tenant, Group: q.Group,
			Estimate: clock.Duration(q.EstimateMS), NeedMB: q.NeedMB, TimeLeft: clock.Duration(max(r.end-c.loop.Now(), 0)),
			Resent: q.Again})
	}
	if class.Semantics == brain.AtMostOnce {
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
	c.events = append(c.events, brain.Abort{Request: r.key})
	c.watched(r, Answer{Kind: AnswerLeft})
}

// finish closes a request; its attempts that are out go on being reported to the module.
func (c *Core) finish(r *request) {
	r.asker = nil
	r.guard.Stop()
	delete(c.byID, r.ID)
	c.changed(r.ID, IDDone)
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
	c.events = append(c.events, brain.Abort{Request: r.key})
}

func (c *Core) fail(r *request, why Reason) {
	asker := r.asker
	c.finish(r)
	c.Counters.Failed++
	c.ByClass[r.Class].Failed++
	c.watched(r, Answer{Kind: AnswerFailed, Reason: r.why(why)})
	asker.Failed(why)
}

// Engines tells the module of the list, and keeps the addresses. Those of engines that left are kept until the module
// has heard of it: an event gathered ahead of this list may still have it send to one.
func (c *Core) Engines(list brain.EngineList, addrs map[brain.EngineID]string) {
	c.Counters.Lists++
	if c.Watch != nil {
		c.Watch.Listed()
	}
	if list.Mode == brain.ListFull {
		// An engine that a whole list leaves out is gone; its address may pass to another.
		for id, e := range c.engines {
			if !slices.ContainsFunc(list.Engines, func(n brain.Engine) bool { return n.ID == id }) {
				c.client.Forget(e)
				c.gone = append(c.gone, id)
			}
		}
	}
	for _, e := range list.Engines {
		old, known := c.engines[e.ID]
		switch {
		case e.State == brain.Gone:
			if known {
				c.client.Forget(old)
				c.gone = append(c.gone, e.ID)
			}
		default:
			if known && old.Addr != addrs[e.ID] {
				c.client.Forget(old)
			}
			c.engines[e.ID] = Engine{ID: e.ID, Addr: addrs[e.ID], Kind: e.Kind}
			c.gone = slices.DeleteFunc(c.gone, func(id brain.EngineID) bool { return id == e.ID })
		}
	}
	c.events = append(c.events, list)
}

// Exclude keeps new work from an engine, by an operator's word, until Include; once it returns, nothing more is begun
// there. Both say no to an engine that no list has named.
func (c *Core) Exclude(id brain.EngineID) bool { return c.order(id, brain.Exclude{Engine: id}) }

// Include ends an Exclude.
func (c *Core) Include(id brain.EngineID) bool { return c.order(id, brain.Include{Engine: id}) }

func (c *Core) order(id brain.EngineID, word brain.Event) bool {
	if !c.Knows(id) {
		return false
	}
	c.events = append(c.events, word)
	c.settle()
	if e, ok := c.engines[id]; ok && c.module.Excluded(id) {
		c.client.Withhold(e)
	}
	return true
}

// Listed is the number of engines in the list, and Avoided that of those among them which get no work now, by an
// operator's word or by the module's choice.
func (c *Core) Listed() int { return len(c.engines) }

// Avoided: see Listed.
func (c *Core) Avoided() int { return c.module.Avoided(clock.Duration(c.loop.Now())) }

// Hear has the core gather events and hand none to the module, until it is called with false: then what it heard of
// engines goes first. It is for a process that stood still, and guards against queries that waited with it being sent by
// an old view of the fleet.
func (c *Core) Hear(on bool) {
	c.hearing = on
	if on {
		return
	}
	slices.SortStableFunc(c.events, func(a, b brain.Event) int { return cmp.Compare(aboutEngines(b), aboutEngines(a)) })
	c.settle()
	for id, e := range c.engines {
		if c.module.Excluded(id) {
			c.client.Withhold(e)
		}
	}
}

func aboutEngines(ev brain.Event) int {
	switch ev.(type) {
	case brain.EngineList, brain.Exclude, brain.Include, brain.Takeover:
		return 1
	}
	return 0
}

// settle hands all that was gathered to the module and carries out what came back.
func (c *Core) settle() {
	c.Counters.Steps++
	if c.hearing {
		return
	}
	for len(c.events) > 0 {
		now := clock.Duration(c.loop.Now())
		events := c.events
		c.events = nil
		c.actions = c.actions[:0]
		for _, ev := range events {
			c.actions = c.module.Handle(now, ev, c.actions)
		}
		c.Counters.Handled += int64(len(events))
		c.Counters.Actions += int64(len(c.actions))
		gone := c.gone
		c.gone = nil
		for _, a := range c.actions {
			c.carryOut(a)
		}
		for _, id := range gone {
			delete(c.engines, id) // ids need not return
		}
		for _, r := range c.fresh {
			if r.fresh = false; r.asker == nil && r.out == 0 {
				delete(c.requests, r.key)
			}
		}
		c.fresh = c.fresh[:0]
	}
}

func (c *Core) carryOut(a brain.Action) {
	switch a := a.(type) {
	case brain.Send:
		c.send(a)
	case brain.SetTerms:
		r := c.requests[a.Request]
		if r == nil {
			return
		}
		r.grant = a.GrantMB
		if a.Priority != r.priority {
			r.priority = a.Priority
			for _, at := range r.attempts {
				if !at.ended {
					at.call.SetPriority(a.Priority)
				}
			}
		}
	case brain.Cancel:
		if r := c.requests[a.Request]; r != nil && a.Attempt < len(r.attempts) && !r.attempts[a.Attempt].ended {
			r.attempts[a.Attempt].call.Cancel()
			c.ended(r.attempts[a.Attempt], End{Outcome: brain.Cancelled})
		}
	case brain.Refuse:
		if r := c.requests[a.Request]; r != nil && r.asker != nil {
			asker := r.asker
			c.finish(r)
			c.Counters.Refused++
			c.ByClass[r.Class].Refused++
			c.watched(r, Answer{Kind: AnswerRefused, Reason: c.whyRefused(r)})
			asker.Refused(clock.Millis(a.RetryAfter))
		}
	case brain.Fail:
		if r := c.requests[a.Request]; r != nil && r.asker != nil {
			why := ReasonEngine
			if c.loop.Now() >= r.end-1 {
				why = ReasonDeadline
			}
			c.fail(r, why)
		}
	case brain.SetTimer:
		c.loop.After(clock.Millis(a.After), func() {
			c.events = append(c.events, brain.Timer{Tag: a.Tag})
		})
	case brain.Subscribe: // the notice board pushes its changes unasked
	}
}

// send starts an attempt. What can no longer be sent ends as NotSent, which proves that it never ran.
func (c *Core) send(s brain.Send) {
	r := c.requests[s.Request]
	if r == nil {
		c.log.Error("send for an unknown request", "request", s.Request)
		return
	}
	now := c.loop.Now()
	a := &attempt{r: r, hop: len(r.attempts), at: now, engine: s.Engine}
	r.attempts = append(r.attempts, a)
	r.out++
	wait := r.end - now
	if s.Timeout > 0 {
		wait = min(wait, clock.Millis(s.Timeout))
	}
	engine, ok := c.engines[s.Engine]
	if r.asker == nil || !ok || wait <= 0 || c.max > 0 && len(r.attempts) > c.max {
		a.call = noAttempt{}
		c.ended(a, End{Outcome: brain.NotSent})
		return
	}
	c.Counters.Sends++
	if c.Watch != nil {
		c.Watch.Sent(s.Engine)
	}
	class, _ := c.Class(r.Class)
	if class.Semantics == brain.AtMostOnce {
		c.spent.add(r.ID)
		c.changed(r.ID, IDSpent)
	}
	a.call = c.client.Start(Call{Engine: engine, ID: r.ID, Class: r.Class, Statement: r.Statement, WaitMS: wait,
		GrantMB: r.grant, Priority: r.priority, Update: r.Update, Once: class.Semantics != brain.Idempotent,
		Wrote: func() { c.ByClass[r.Class].Forwards++ }},
		func(e End) { c.ended(a, e) })
	a.timeout = c.loop.At(now+wait, func() { c.ended(a, End{Outcome: brain.TimedOut, Detail: "no answer in time"}) })
}

// ended reports an attempt's end to the module; the first good one answers the request.
func (c *Core) ended(a *attempt, e End) {
	if a.ended {
		c.Counters.AfterDone++
		return
	}
	r := a.r
	a.ended, a.outcome = true, e.Outcome
	if c.Watch != nil {
		c.Watch.Ended(a.engine, e.Outcome, c.loop.Now()-a.at)
	}
	a.timeout.Stop()
	a.call.Drop()
	r.out--
	c.Counters.Ends[e.Outcome]++
	if proven := e.Outcome == brain.Full || e.Outcome == brain.ConnectFailed; proven {
		if c.spent.has(r.ID) {
			c.changed(r.ID, IDUnspent)
		}
		c.spent.remove(r.ID) // no earlier attempt may have run: the module would not have sent this one
	}
	if e.Outcome != brain.Served {
		c.log.Debug("attempt ended", "rid", r.ID, "class", r.Class, "outcome", e.Outcome, "detail", e.Detail,
			"took", c.loop.Now()-a.at)
	}
	if e.Outcome == brain.Served && r.asker != nil {
		asker := r.asker
		c.finish(r)
		c.Counters.Served++
		c.ByClass[r.Class].Served++
		c.watched(r, Answer{Kind: AnswerServed, AimMS: c.aim(r, e.Result), Engine: a.engine})
		asker.Served(e.Result)
	}
	end := brain.AttemptEnd{Request: r.key, Attempt: a.hop, Outcome: e.Outcome,
		Took: clock.Duration(c.loop.Now() - a.at), Last: r.asker == nil}
	if e.Result != nil {
		end.Work, end.NeedMB = clock.Duration(e.Result.WorkMS), e.Result.NeedMB
	}
	c.events = append(c.events, end)
	if r.asker == nil && r.out == 0 {
		delete(c.requests, r.key)
	}
}

// spent remembers the ids of the latest requests that must not run twice and may have run. It guards against a client
// that uses an id again: an engine that has run it would run it once more.
type spent struct {
	at   map[string]int // place in ids
	ids  [maxSpent]string
	next int
}

// maxSpent is some minutes of loads.
const maxSpent = 4096

func (s *spent) has(id string) bool {
	_, ok := s.at[id]
	return ok
}

func (s *spent) add(id string) {
	if s.has(id) {
		return
	}
	s.remove(s.ids[s.next])
	s.ids[s.next], s.at[id] = id, s.next
	s.next = (s.next + 1) % maxSpent
}

// remove takes back an id that is proven never to have run.
func (s *spent) remove(id string) {
	if i, ok := s.at[id]; ok {
		s.ids[i] = ""
		delete(s.at, id)
	}
}

type noAttempt struct{}

func (noAttempt) SetPriority(int) {}
func (noAttempt) Cancel()         {}
func (noAttempt) Drop()           {}
