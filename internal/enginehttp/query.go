package enginehttp

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"syscall"

	"windflow/dispatch"
	"windflow/internal/router"
)

// query is one attempt: a statement that an engine was asked to run.
type query struct {
	c       *Client
	call    router.Call
	done    func(router.End)
	post    *call // the call that starts the statement
	current *call
	last    float64 // when the statement was written, or the engine last gave an answer that can be read
	failed  int     // questions since then that brought none
	bad     int     // spoilt answers among them
	cut     bool    // the connection of the POST broke before any answer to it
	mute    bool    // the POST was left without an answer, on an open connection
	pages   [][]byte
	parts   int
	work    float64 // what the engine says that it took
	need    float64
	rank    int // the priority that the engine was told
	over    bool
	leaving bool // it is given up at the engine; see giveUp
}

// Start implements router.EngineClient.
func (c *Client) Start(what router.Call, done func(router.End)) router.Attempt {
	q := &query{c: c, call: what, done: done, last: c.loop.Now(), rank: what.Priority}
	b := fmt.Appendf(nil, "POST /fetch HTTP/1.1\r\nHost: %s\r\nCall-Id: %s\r\nCall-Kind: %s\r\nCall-Ms: %d\r\n",
		what.Engine.Address, what.ID, what.Class, max(int64(what.WaitMS), 1))
	if what.GrantMB > 0 {
		b = fmt.Appendf(b, "X-Mem-Limit: %d\r\n", int64(math.Ceil(what.GrantMB)))
	}
	b = fmt.Appendf(b, "X-Nice: %d\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		what.Priority, len(what.Statement), what.Statement)
	c.Counters.Posts++
	// What must not run twice gets a new connection: an old one may be reset as it is written to, and then nobody
	// can tell whether the engine has read it, where a new one that fails proves that it has not.
	q.post = c.do(&call{engine: what.Engine, about: q, fresh: what.AtMostOnce, once: what.AtMostOnce, begins: true, text: b, then: q.started})
	q.current = q.post
	return q
}

// Abandon implements router.Attempt. Nothing is asked any more, so that the engine forgets the query; a call
// that is under way may end by itself, which keeps its connection.
func (q *query) Abandon() {
	q.over = true
	if q.current != nil && !q.current.written {
		q.current.abort(nil)
	}
}

// CancelUnsent implements router.Attempt.
func (q *query) CancelUnsent() bool {
	if q.over || q.post.written {
		return false
	}
	q.Abandon()
	return true
}

// Cancel implements router.Attempt. A query whose POST was never written has nothing to give up.
func (q *query) Cancel() {
	switch {
	case q.over || !q.post.written:
	case q.call.Exclusive:
		q.giveUp(dispatch.Cancelled, "given up")
	default:
		q.delete(nil)
	}
}

// delete tells the engine to give the query up.
func (q *query) delete(then func(*response, error)) {
	q.c.Counters.Deletes++
	q.c.do(&call{engine: q.call.Engine, about: q, then: then, text: fmt.Appendf(nil,
		"DELETE /fetch/%s HTTP/1.1\r\nHost: %s\r\n\r\n", q.call.ID, q.call.Engine.Address)})
}

// lose ends an attempt that the engine may still have under way. Where another one may begin at once, that is its end;
// elsewhere the engine has to have given it up.
func (q *query) lose(o dispatch.Outcome, detail string) {
	if q.call.Exclusive {
		q.giveUp(o, detail)
	} else {
		q.end(o, detail)
	}
}

// giveUp ends the attempt once the engine has none of it any more: when it has taken the word to give it up, where that is
// allowed, or when it has not been asked for so long that it forgets the query. It guards against a second copy where the
// settings allow none: a query belongs to no connection, and runs on when that breaks.
func (q *query) giveUp(o dispatch.Outcome, detail string) {
	if q.over || q.leaving {
		return
	}
	q.leaving = true
	if q.current != nil && !q.current.written {
		q.current.abort(nil)
	}
	q.c.loop.After(forgets, func() { q.end(o, detail) })
	if !q.call.CancelAllowed {
		return
	}
	var tell func()
	tell = func() {
		if q.over {
			return
		}
		q.delete(func(r *response, err error) {
			switch {
			case errors.Is(err, syscall.ECONNREFUSED),
				err == nil && (r.status == 204 || r.status == 404 || r.status == 500): // taken, or not known any more
				q.end(o, detail)
			default:
				q.c.loop.After(askAgain, tell)
			}
		})
	}
	tell()
}

// SetPriority implements router.Attempt.
func (q *query) SetPriority(p int) {
	if q.over || p == q.rank {
		return
	}
	q.rank = p
	q.c.Counters.Priorities++
	body := strconv.Itoa(p)
	q.c.do(&call{engine: q.call.Engine, about: q, text: fmt.Appendf(nil,
		"PUT /fetch/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
		q.call.ID, q.call.Engine.Address, len(body), body)})
}

func (q *query) end(o dispatch.Outcome, detail string) {
	if q.over {
		return
	}
	q.over = true
	q.done(router.End{Outcome: o, Detail: detail})
}

// started takes the answer to the POST.
func (q *query) started(r *response, err error) {
	switch {
	case q.over || q.leaving:
	case err == nil:
		q.news(r)
	case !q.post.written:
		// It was never written, or never connected: the one proof that a transport can give.
		q.end(dispatch.ConnectFailed, err.Error())
	default:
		// It may have begun. Whether it did is asked; the statement is not sent again.
		var bad *badAnswer
		q.cut = !errors.As(err, &bad)
		// Where nothing else may begin until the engine forgets the query, giving it up early gains nothing.
		q.mute = errors.Is(err, errSilent) && (!q.call.Exclusive || q.call.CancelAllowed)
		q.broken(err)
	}
}

// tell passes on what an answer says beside its result.
func (q *query) tell(r *response) {
	if q.call.OnProgress == nil {
		return
	}
	n := router.AttemptProgress{Final: r.status != 202}
	if text := r.header["backend-load"]; text != "" {
		n.Report = parseLoad(text)
	}
	if !n.Final {
		n.Kind, n.Amount = parseNote(r.header)
	}
	q.call.OnProgress(n)
}

// news takes an answer to a POST or to a question.
func (q *query) news(r *response) {
	q.tell(r)
	notBegun := r.header["not-begun"] == "1"
	switch {
	case r.status == 202 && q.mute && !q.call.AtMostOnce:
		q.lose(dispatch.ConnectionReset, "not over after a POST without an answer")
	case r.status == 202:
		q.heard()
		q.ask(0)
	case r.status == 200 && r.header["x-part-no"] == "":
		parts, err := strconv.Atoi(r.header["x-parts"])
		if err != nil || parts < 1 || parts > router.MaxResultBytes {
			q.spoilt(fmt.Sprintf("X-Parts %.20q is no number of pages", r.header["x-parts"]))
			return
		}
		q.parts, q.work, q.need = parts, number(r.header["x-cpu-ms"]), number(r.header["x-mem-used"])
		q.page(r)
	case (r.status == 503 || r.status == 504) && notBegun && len(q.pages) == 0:
		q.end(dispatch.EngineFull, strconv.Itoa(r.status))
	case r.status >= 400 && q.cut:
		// The engine is well and does not know the query: the break came before it had read the statement, or it
		// has started anew since. Neither is the query's fault, nor a proof.
		q.end(dispatch.ConnectionReset, fmt.Sprintf("%d after a break: %s", r.status, clip(r.body)))
	case r.status >= 400:
		q.end(dispatch.EngineFailed, fmt.Sprintf("%d: %s", r.status, clip(r.body)))
	default:
		q.spoilt(fmt.Sprintf("status %d", r.status))
	}
}

// heard notes an answer that can be read.
func (q *query) heard() {
	q.last, q.failed, q.bad, q.cut, q.mute = q.c.loop.Now(), 0, 0, false, false
}

// ask asks for the news of the query, or for a page of its result.
func (q *query) ask(page int) {
	if page > 0 {
		q.c.Counters.Pages++
	} else {
		q.c.Counters.Polls++
	}
	// After a failure a new connection asks: others that are kept may have met with the same.
	within := 0.0
	if q.mute && page == 0 && !q.call.AtMostOnce {
		within = overWithin
	}
	q.current = q.c.do(&call{
		engine: q.call.Engine, about: q, fresh: q.failed > 0, later: page == 0 && q.failed == 0, within: within,
		text: fmt.Appendf(nil, "GET /fetch/%s/%d HTTP/1.1\r\nHost: %s\r\n\r\n", q.call.ID, page, q.call.Engine.Address),
		then: func(r *response, err error) { q.told(page, r, err) },
	})
}

// told takes the answer to a question.
func (q *query) told(page int, r *response, err error) {
	switch {
	case q.over || q.leaving:
	case err != nil:
		q.broken(err)
	case page == 0:
		q.news(r)
	case r.status == 200 && r.header["x-part-no"] == strconv.Itoa(page):
		q.page(r)
	case r.status >= 400:
		q.end(dispatch.EngineFailed, fmt.Sprintf("%d for a page: %s", r.status, clip(r.body)))
	default:
		q.spoilt(fmt.Sprintf("status %d, X-Part-No %.10q for page %d", r.status, r.header["x-part-no"], page))
	}
}

// spoilt deals with an answer that no engine should give. It may be one to another call, so that the connection which
// brought it is of no further use.
func (q *query) spoilt(why string) {
	if k := q.current.conn; k.call == nil {
		k.close()
	}
	q.broken(&badAnswer{errors.New(why)})
}

// broken deals with a question, or a POST, whose answer did not come or can't be used. Asking again runs nothing, and
// an engine gives a good end again, so the question is put once more on a new connection for as long as the engine
// may still know the query. The statement itself is never written again.
func (q *query) broken(err error) {
	q.failed++
	limit := silentFor
	if q.call.AtMostOnce {
		limit = silentForOnce
	}
	var bad *badAnswer
	q.c.log.Debug("no usable answer from an engine", "engine", q.call.Engine.Address, "rid", q.call.ID, "why", err,
		"in_a_row", q.failed)
	switch {
	case q.mute && q.failed > 1 && errors.Is(err, errSilent) && !q.call.AtMostOnce:
		// An engine answers a POST within 250 ms, if only with 'not yet over'. One that did not, and then does not tell
		// of an end at once either, may never: what may be repeated is given up there, so that it runs elsewhere while
		// its client still waits. A query that is over is told of at once, so that one whose answer was cut off is saved.
		q.lose(dispatch.ConnectionReset, "silent after a POST without an answer")
		return
	case errors.As(err, &bad):
		q.c.Counters.BadResponses++
		if q.bad++; q.bad >= maxBad {
			q.c.log.Warn("bad answers from an engine", "engine", q.call.Engine.Address, "rid", q.call.ID, "why", err)
			q.lose(dispatch.EngineFailed, err.Error())
			return
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		q.end(dispatch.ConnectionReset, "the engine takes no connections any more: "+err.Error())
		return
	case q.c.loop.Now()-q.last >= limit:
		q.lose(dispatch.ConnectionReset, "silent: "+err.Error())
		return
	}
	q.c.Counters.Unanswered++
	again := func() {
		if !q.over && !q.leaving {
			q.c.Counters.Retries++
			q.ask(len(q.pages))
		}
	}
	if q.failed == 1 {
		again()
		return
	}
	q.c.loop.After(askAgain, again)
}

// page keeps a page and asks for the next one, or ends the attempt well.
func (q *query) page(r *response) {
	err := checkPage(r.body)
	if err == nil && r.more {
		// A length that is too short cuts an answer off and leaves its rest behind it; whether it did can't be told.
		err = errors.New("bytes after the end of a page")
	}
	if err != nil {
		q.spoilt(err.Error())
		return
	}
	q.heard()
	q.pages = append(q.pages, r.body)
	if len(q.pages) < q.parts {
		q.ask(len(q.pages))
		return
	}
	result, err := parseRows(q.pages)
	if err != nil {
		q.end(dispatch.EngineFailed, err.Error())
		return
	}
	result.WorkMS, result.NeedMB = q.work, q.need
	q.over = true
	q.done(router.End{Outcome: dispatch.Served, Result: result})
}
