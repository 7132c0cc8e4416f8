package router

import (
	"windflow/dispatch"
	"windflow/internal/clock"
)

// Observer hears of requests and attempts, in the loop. It must not block, and what it is handed is not its own.
type Observer interface {
	RequestArrived(*Request)
	RequestAnswered(*Request, Answer)
	AttemptStarted(dispatch.EngineID)
	// Listed hears that the list of engines has changed; the module is told at the end of the step.
	EndpointsChanged()
	AttemptEnded(engine dispatch.EngineID, outcome dispatch.Outcome, tookMS float64)
}

// AnswerKind is how a request ended.
type AnswerKind int

// Ends of requests.
const (
	AnswerServed AnswerKind = iota
	AnswerRejected
	AnswerFailed
	AnswerClientGone // the client went; none was owed
)

// Answer is a request's end.
type Answer struct {
	Kind        AnswerKind
	TookMS      float64           // since the client sent the request
	ObjectiveMS float64           // the class's aim for it; of served ones
	Reason      string            // of refusals and failures
	Engine      dispatch.EngineID // of the last attempt; 0 for none
}

func (c *Core) watched(r *request, a Answer) {
	if c.Observer == nil {
		return
	}
	a.TookMS = c.loop.Now() - r.SentAtMS
	if n := len(r.attempts); a.Engine == 0 && n > 0 {
		a.Engine = r.attempts[n-1].engine
	}
	c.Observer.RequestAnswered(r.Request, a)
}

// aim is when an answer is in time, by the work that the engine told, else by the client's estimate.
func (c *Core) aim(r *request, result *Result) float64 {
	class, _ := c.Class(r.Class)
	work := r.EstimateMS
	if result != nil && result.WorkMS > 0 {
		work = result.WorkMS
	}
	return clock.Millis(class.LatencyObjective) + class.ObjectiveStretch*work/float64(max(class.Threads, 1))
}

// reasons word how the last attempt ended.
var reasons = map[dispatch.Outcome]string{
	dispatch.EngineFailed: "the engine failed", dispatch.EngineFull: "the engine was full",
	dispatch.TimedOut: "the engine did not answer in time", dispatch.ConnectFailed: "no connection to the engine",
	dispatch.ConnectionReset: "the connection to the engine broke", dispatch.Cancelled: "given up", dispatch.NotSent: "not sent",
}

// why words a failure.
func (r *request) why(reason Reason) string {
	text := "no attempt"
	if n := len(r.attempts); n > 0 {
		if last := r.attempts[n-1]; last.ended {
			text = reasons[last.outcome]
		} else {
			text = "no answer yet"
		}
	}
	if reason == ReasonDeadline {
		return "the time ran out: " + text
	}
	return text
}

// whyRefused words a refusal, which is the module's, by what the core knows of it.
func (c *Core) whyRefused(r *request) string {
	switch n := len(r.attempts); {
	case n > 0:
		return "turned away: " + reasons[r.attempts[n-1].outcome]
	case len(c.engines) == 0:
		return "no engine is listed"
	}
	return "no room in time"
}

// FillView fills a view of the fleet as the module has it.
func (c *Core) FillView(v *dispatch.View) { c.module.FillView(clock.Duration(c.loop.Now()), v) }
