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
	arriving    bool   // the dispatch module has not handled the arrival yet, and may still start attempts
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
	byKey    map[dispatch.RequestID]*request
	open     map[string]*request // by the client's id
	arriving []*request          // requests whose arrival is queued for the dispatch module
	lastKey  uint64
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

// markArriving marks a request whose arrival is queued for the dispatch module.
func (t *requestTable) markArriving(request *request) {
	request.arriving = true
	t.arriving = append(t.arriving, request)
}

// finishArrivals unmarks the arriving requests after the dispatch module has handled their arrivals, and removes those
// that have ended.
func (t *requestTable) finishArrivals() {
	for _, request := range t.arriving {
		request.arriving = false
		t.removeEnded(request)
	}
	t.arriving = t.arriving[:0]
}

// close marks a request as answered or abandoned, and returns its handler.
func (t *requestTable) close(request *request) ResponseHandler {
	handler := request.handler
	request.handler = nil
	delete(t.open, request.ID)
	return handler
}

// removeEnded removes a request if it is not open and has no outstanding attempt.
func (t *requestTable) removeEnded(request *request) {
	if !request.open() && request.outstanding == 0 {
		delete(t.byKey, request.key)
	}
}
