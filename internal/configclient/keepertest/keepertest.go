// Package keepertest has a fake keeper for tests of followers. It serves the calls of real keepers from a real log of
// revisions, in the process of the test and without replication. Tests can replace its answers.
package keepertest

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"windflow/internal/decide/configlog"
)

const (
	// waitTimeout bounds the wait for a follower. Only a failing test reaches it.
	waitTimeout = 30 * time.Second
	// maxRecordedStatuses is the number of received statuses that are kept until a test reads them; further ones are
	// dropped.
	maxRecordedStatuses = 1 << 14
)

// Keeper is a fake keeper. It is an http.Handler.
type Keeper struct {
	tb       testing.TB
	server   *httptest.Server
	stopping chan struct{}                 // closed when open calls must end
	statuses chan configlog.FollowerStatus // of the received calls

	mu            sync.Mutex
	log           *configlog.Log
	changed       chan struct{}    // closed at the next change
	override      http.HandlerFunc // answers the calls unless nil
	seenInstances map[string]bool  // instances that have made a call
}

// New starts a keeper, which is stopped at the end of the test.
func New(tb testing.TB) *Keeper {
	tb.Helper()
	keeper := &Keeper{
		tb:            tb,
		stopping:      make(chan struct{}),
		statuses:      make(chan configlog.FollowerStatus, maxRecordedStatuses),
		log:           configlog.NewLog(configlog.DefaultRetention),
		changed:       make(chan struct{}),
		seenInstances: map[string]bool{},
	}
	keeper.server = httptest.NewServer(keeper)
	tb.Cleanup(func() {
		close(keeper.stopping)
		keeper.server.CloseClientConnections()
		keeper.server.Close()
	})
	return keeper
}

// Addr returns the address on which the keeper listens.
func (k *Keeper) Addr() string { return k.server.Listener.Addr().String() }

// Change applies a change to the log and returns its revision. A change that the log rejects fails the test.
func (k *Keeper) Change(put map[string]string, remove ...string) uint64 {
	k.tb.Helper()
	k.mu.Lock()
	defer k.mu.Unlock()
	id := "c" + strconv.FormatUint(k.log.Revision(), 10)
	change := configlog.Change{ID: id, Put: map[string]json.RawMessage{}, Remove: remove}
	for pointer, value := range put {
		change.Put[pointer] = json.RawMessage(value)
	}
	result := k.log.Apply(change)
	if result.Err != nil {
		k.tb.Fatal(result.Err)
	}
	k.wakeOpenCalls()
	return result.Revision
}

// SetHandler replaces the handler of calls; nil restores the usual answers. It aborts open calls.
func (k *Keeper) SetHandler(handler http.HandlerFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.override = handler
	k.wakeOpenCalls()
}

// wakeOpenCalls makes open calls check for a new answer. The caller must hold the lock.
func (k *Keeper) wakeOpenCalls() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// WaitForStatus waits for a call with a status that satisfies the condition, and returns that status. what describes
// the condition in the message of a failure.
func (k *Keeper) WaitForStatus(what string, condition func(configlog.FollowerStatus) bool) configlog.FollowerStatus {
	k.tb.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case status := <-k.statuses:
			if condition(status) {
				return status
			}
		case <-timeout:
			k.tb.Fatal("no follower reported that " + what)
		}
	}
}

// WaitForRevision waits for a call with the status that a revision is in force, and returns that status.
func (k *Keeper) WaitForRevision(revision uint64) configlog.FollowerStatus {
	k.tb.Helper()
	return k.WaitForStatus("revision "+strconv.FormatUint(revision, 10)+" is in force",
		func(status configlog.FollowerStatus) bool { return status.Revision == revision })
}

// followRequest is the body of `POST /v1/follow`.
type followRequest struct {
	Report configlog.FollowerStatus `json:"report"`
	WaitMS int                      `json:"wait_ms"`
}

// ServeHTTP answers a call of a follower.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request followRequest
	err := json.NewDecoder(r.Body).Decode(&request)
	if err != nil || r.URL.Path != "/v1/follow" || r.Method != http.MethodPost {
		http.Error(w, "expected a JSON body at POST /v1/follow", http.StatusNotFound)
		return
	}
	if err := request.Report.Check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if override := k.currentOverride(); override != nil {
		override(w, r)
		return
	}
	select {
	case k.statuses <- request.Report:
	default:
	}
	if k.recordInstance(request.Report.Instance) && request.WaitMS == 0 {
		w.WriteHeader(http.StatusNoContent) // the call ends before real keepers have agreed to record the new process
		return
	}
	k.answerPoll(w, r, request)
}

func (k *Keeper) currentOverride() http.HandlerFunc {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.override
}

// recordInstance records that an instance has made a call, and reports whether it is the first one.
func (k *Keeper) recordInstance(instance string) (isNew bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	isNew = !k.seenInstances[instance]
	k.seenInstances[instance] = true
	return isNew
}

// answerPoll answers when there is an update or the wait has passed. It aborts the connection if an override is set.
func (k *Keeper) answerPoll(w http.ResponseWriter, r *http.Request, request followRequest) {
	timeout := time.After(time.Duration(request.WaitMS) * time.Millisecond)
	for {
		answer, changed, overridden := k.nextAnswer(request.Report)
		if answer != nil {
			_, _ = w.Write(answer)
			return
		}
		if overridden {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		case <-k.stopping:
			return
		}
	}
}

// nextAnswer returns the encoded update for a follower, or nil if there is nothing newer. It encodes under the lock
// because the update shares its entries with the log.
func (k *Keeper) nextAnswer(
	status configlog.FollowerStatus,
) (answer []byte, changed <-chan struct{}, overridden bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed, overridden = k.changed, k.override != nil
	update := k.log.NextUpdate(status)
	if update.IsEmpty() {
		return nil, changed, overridden
	}
	answer, err := json.Marshal(update)
	if err != nil {
		panic(err)
	}
	return answer, changed, overridden
}
