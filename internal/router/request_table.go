package router

import (
	"maps"
	"slices"
	"strconv"

	"windflow/dispatch"
)

// request is a submitted request with its attempts, its deadline and the handler of its answer.
type request struct {
	*Request
	key         dispatch.RequestID
	handler     ResponseHandler // nil once the request is answered or abandoned
	deadline    float64
	attempts    []*attempt
	outstanding int // number of attempts that have not ended
	grantMB     float64
	priority    int
	guard       *Timer // see answerGuardMS
	queued      int    // times in requestTable.queued
}

// open reports whether the request has not been answered or abandoned yet.
func (r *request) open() bool { return r.handler != nil }

func (r *request) lastAttempt() *attempt {
	if n := len(r.attempts); n > 0 {
		return r.attempts[n-1]
	}
	return nil
}

// requestTable holds requests from their submission until they are answered or abandoned and all attempts have ended.
type requestTable struct {
	byKey   map[dispatch.RequestID]*request
	open    map[string]*request // by the client's id
	queued  []*request          // see markQueued
	lastKey uint64
}

func newRequestTable() *requestTable {
	return &requestTable{byKey: map[dispatch.RequestID]*request{}, open: map[string]*request{}}
}

// add opens a request and assigns it a new key.
func (t *requestTable) add(submitted *Request, handler ResponseHandler, deadline float64) *request {
	t.lastKey++
	added := &request{
		Request:  submitted,
		key:      dispatch.RequestID(strconv.FormatUint(t.lastKey, 10)),
		handler:  handler,
		deadline: deadline,
		priority: 1,
	}
	t.byKey[added.key], t.open[added.ID] = added, added
	return added
}

// get returns the request with that key, or nil if there is none.
func (t *requestTable) get(key dispatch.RequestID) *request { return t.byKey[key] }

// isOpen reports whether a request with that client id is open.
func (t *requestTable) isOpen(id string) bool { return t.open[id] != nil }

// openCount returns the number of open requests.
func (t *requestTable) openCount() int { return len(t.open) }

// openIDs returns the clients' ids of the open requests, sorted.
func (t *requestTable) openIDs() []string { return slices.Sorted(maps.Keys(t.open)) }

// markQueued marks a request whose arrival or end is queued for the dispatch module. The request is kept until the
// module has handled that and its actions were executed: the module may start an attempt before it learns of the end,
// and must learn that this attempt was not sent.
func (t *requestTable) markQueued(request *request) {
	request.queued++
	t.queued = append(t.queued, request)
}

// takeQueued returns the requests that are marked, for finishQueued.
func (t *requestTable) takeQueued() []*request {
	queued := t.queued
	t.queued = nil
	return queued
}

// finishQueued unmarks requests, and removes those that have ended.
func (t *requestTable) finishQueued(queued []*request) {
	for _, request := range queued {
		request.queued--
		t.removeEnded(request)
	}
}

// close marks a request as answered or abandoned, and returns its handler.
func (t *requestTable) close(request *request) ResponseHandler {
	handler := request.handler
	request.handler = nil
	delete(t.open, request.ID)
	t.markQueued(request)
	return handler
}

// removeEnded removes a request if it is not open, has no outstanding attempt and is not marked as queued.
func (t *requestTable) removeEnded(request *request) {
	if !request.open() && request.outstanding == 0 && request.queued == 0 {
		delete(t.byKey, request.key)
	}
}
