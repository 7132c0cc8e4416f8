package router

import (
	"windflow/dispatch"
	"windflow/internal/clock"
)

// Engine is an engine as the list names it.
type Engine struct {
	ID      dispatch.EngineID
	Address string
	Kind    string
}

// Call is one attempt for an engine client to carry out.
type Call struct {
	Engine     Engine
	ID         string
	Class      string
	Statement  string
	WaitMS     float64 // how long the router will wait
	GrantMB    float64 // 0: the engine's own choice
	Priority   int
	Update     bool // the client asked for an update, not for rows
	AtMostOnce bool // it must not run twice: proof that it never ran is worth a new connection
	// Alone says that no second attempt of the request may begin while an engine may have this one under way: its end is
	// reported once the engine has none of it any more, and not before. Deletes says that the engine may be told to give it up.
	Exclusive, CancelAllowed bool
	// Latest is when it may begin at the latest, on the loop's clock; 0: at any time.
	LatestStartMS float64
	// Wrote is called in the loop, once at most, when the last byte of the attempt has left for the engine.
	OnSent func()
	// Heard, where it is set, is called in the loop with each answer of the engine that can be read.
	OnProgress func(AttemptProgress)
}

// AttemptProgress is what an answer of an engine tells beside an end: of the attempt, that it is under way, and of the engine, its
// load where it reports that.
type AttemptProgress struct {
	Kind   dispatch.ProgressKind
	Amount float64
	Report *dispatch.LoadReport
	Final  bool // the answer is the attempt's end: there is no note
}

// End is how an attempt ended; Result is set where Outcome is Served.
type End struct {
	Outcome dispatch.Outcome
	Result  *Result
	Detail  string // for the log
}

// Attempt is an attempt that is out.
type Attempt interface {
	SetPriority(int)
	// Cancel tells the engine to give the query up. Drop follows or, where the call is Alone, the end once that is done.
	Cancel()
	// Drop ends the interest in it: its end is not reported any more.
	Abandon()
	// Recall takes back an attempt that was not written whole, so that it never runs; false says that it is too late. As
	// after Drop, its end is not reported.
	CancelUnsent() bool
}

// EngineClient carries attempts out. done is called at most once, in the loop, and never from within Start.
type EngineClient interface {
	Start(call Call, done func(End)) Attempt
	// Forget is told that an engine is gone: connections kept for it are of no more use.
	Forget(Engine)
	// Withhold is told that an engine gets nothing more, or that it is elsewhere: each attempt of which nothing was
	// written ends as ConnectFailed. What has been begun goes on.
	CancelUnstarted(Engine)
}

func (c *Core) carryOut(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.StartAttempt:
		c.send(a)
	case dispatch.SetResources:
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
	case dispatch.CancelAttempt:
		if r := c.requests[a.Request]; r != nil && a.Attempt < len(r.attempts) {
			c.cancel(r.attempts[a.Attempt])
		}
	case dispatch.Reject:
		if r := c.requests[a.Request]; r != nil && r.asker != nil {
			asker := r.asker
			c.finish(r)
			c.Counters.Rejected++
			c.ByClass[r.Class].Rejected++
			c.watched(r, Answer{Kind: AnswerRejected, Reason: c.whyRefused(r)})
			asker.Rejected(clock.Millis(a.RetryAfter))
		}
	case dispatch.FailRequest:
		if r := c.requests[a.Request]; r != nil && r.asker != nil {
			why := ReasonEngine
			if c.loop.Now() >= r.end-1 {
				why = ReasonDeadline
			}
			c.fail(r, why)
		}
	case dispatch.SetTimer:
		c.loop.After(clock.Millis(a.After), func() {
			c.events = append(c.events, dispatch.TimerFired{Tag: a.Tag})
		})
	case dispatch.Subscribe: // the notice board pushes its changes unasked
	}
}

// send starts an attempt. What can no longer be sent ends as NotSent, which proves that it never ran.
func (c *Core) send(s dispatch.StartAttempt) {
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
		c.ended(a, End{Outcome: dispatch.NotSent})
		return
	}
	if c.leaving[s.Engine] {
		// Two words of an engine came in one batch: the module went by the first one.
		a.call = noAttempt{}
		c.ended(a, End{Outcome: dispatch.ConnectFailed, Detail: "the engine leaves"})
		return
	}
	c.Counters.Attempts++
	if c.Observer != nil {
		c.Observer.AttemptStarted(s.Engine)
	}
	latest := 0.0
	if s.StartWithin > 0 {
		latest = now + clock.Millis(s.StartWithin)
	}
	class, _ := c.Class(r.Class)
	a.alone = c.alone && class.Semantics != dispatch.AtMostOnce // after what may have run there is no other, and its end is due at once
	if class.Semantics == dispatch.AtMostOnce {
		c.spent.add(r.ID)
		c.changed(r.ID, IDConsumed)
	}
	a.call = c.client.Start(Call{
		Engine: engine, ID: r.ID, Class: r.Class, Statement: r.Statement, WaitMS: wait,
		GrantMB: r.grant, Priority: r.priority, Update: r.Update, AtMostOnce: class.Semantics != dispatch.Idempotent,
		LatestStartMS: latest, Exclusive: a.alone, CancelAllowed: c.deletes, OnSent: func() { c.ByClass[r.Class].Forwards++ }, OnProgress: func(n AttemptProgress) { c.heard(a, n) },
	},
		func(e End) { c.ended(a, e) })
	a.timeout = c.loop.At(now+wait, func() { c.ended(a, End{Outcome: dispatch.TimedOut, Detail: "no answer in time"}) })
	if s.StartWithin > 0 {
		a.latest = c.loop.After(clock.Millis(s.StartWithin), func() { c.recall(a, dispatch.ConnectFailed, "not begun in time") })
	}
}

// cancel has an engine give an attempt up. Where no second copy is allowed, it is out until the engine has.
func (c *Core) cancel(a *attempt) {
	if a.ended || a.cancelled {
		return
	}
	if c.recall(a, dispatch.ConnectFailed, "taken back"); a.ended {
		return
	}
	a.cancelled = true
	if a.call.Cancel(); !a.alone {
		c.ended(a, End{Outcome: dispatch.Cancelled})
	}
}

// recall ends an attempt that was not written whole, as one that never ran. It guards against attempts that begin long
// after the module decided on them: they wait for a connection, or for it to come up.
func (c *Core) recall(a *attempt, o dispatch.Outcome, why string) {
	if !a.ended && a.call != nil && a.call.CancelUnsent() {
		c.ended(a, End{Outcome: o, Detail: why})
	}
}

// reportEvery is how often the module is told of a load report that stays the same, in milliseconds: every answer
// of an engine brings one.
const reportEvery = 250.0

// report is an engine's last word of its load, and when the module was told.
type report struct {
	load dispatch.LoadReport
	at   float64
}

// heard tells the module how an engine says it is loaded and, where engines send notes, what they say of an attempt. An
// answer that says no more than that the attempt is under way is told twice in the time between notes.
func (c *Core) heard(a *attempt, n AttemptProgress) {
	now := c.loop.Now()
	last, told := c.reports[a.engine]
	if _, listed := c.engines[a.engine]; listed && n.Report != nil && (!told || last.load != *n.Report || now-last.at >= reportEvery) {
		c.reports[a.engine] = report{*n.Report, now}
		c.events = append(c.events, dispatch.EngineLoad{Engine: a.engine, Report: *n.Report})
	}
	if a.ended || n.Final || c.noteEvery <= 0 || n.Kind == dispatch.ProgressAlive && now-a.noted < c.noteEvery/2 {
		return
	}
	a.noted = now
	c.events = append(c.events, dispatch.AttemptProgress{Request: a.r.key, Attempt: a.hop, Kind: n.Kind, Amount: n.Amount})
}

// ended reports an attempt's end to the module; the first good one answers the request.
func (c *Core) ended(a *attempt, e End) {
	if a.ended {
		c.Counters.EndsAfterEnd++
		return
	}
	r := a.r
	a.ended, a.outcome = true, e.Outcome
	if c.Observer != nil {
		c.Observer.AttemptEnded(a.engine, e.Outcome, c.loop.Now()-a.at)
	}
	a.timeout.Stop()
	a.latest.Stop()
	a.call.Abandon()
	r.out--
	c.Counters.Outcomes[e.Outcome]++
	if proven := e.Outcome == dispatch.EngineFull || e.Outcome == dispatch.ConnectFailed || e.Outcome == dispatch.NotSent; proven {
		if c.spent.has(r.ID) {
			c.changed(r.ID, IDReleased)
		}
		c.spent.remove(r.ID) // no earlier attempt may have run: the module would not have sent this one
	}
	if e.Outcome != dispatch.Served {
		c.log.Debug("attempt ended", "rid", r.ID, "class", r.Class, "outcome", e.Outcome, "detail", e.Detail,
			"took", c.loop.Now()-a.at)
	}
	if e.Outcome == dispatch.Served && r.asker != nil {
		asker := r.asker
		c.finish(r)
		c.Counters.Served++
		c.ByClass[r.Class].Served++
		c.watched(r, Answer{Kind: AnswerServed, ObjectiveMS: c.aim(r, e.Result), Engine: a.engine})
		asker.Served(e.Result)
	}
	end := dispatch.AttemptEnd{
		Request: r.key, Attempt: a.hop, Outcome: e.Outcome,
		Took: clock.Duration(c.loop.Now() - a.at), Last: r.asker == nil,
	}
	if e.Result != nil {
		end.Work, end.NeedMB = clock.Duration(e.Result.WorkMS), e.Result.NeedMB
	}
	c.events = append(c.events, end)
	if r.asker == nil && r.out == 0 {
		delete(c.requests, r.key)
	}
}

type noAttempt struct{}

func (noAttempt) SetPriority(int)    {}
func (noAttempt) Cancel()            {}
func (noAttempt) Abandon()           {}
func (noAttempt) CancelUnsent() bool { return false }
