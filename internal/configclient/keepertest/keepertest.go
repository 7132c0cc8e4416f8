// Package keepertest has a fake keeper for tests of its followers: the real log of revisions behind the real calls,
// in one process and without replication, which can be made to misbehave.
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
	// waitTimeout bounds the wait for a follower: only a test that fails reaches it.
	waitTimeout = 30 * time.Second
	// maxRecordedStatuses bounds the statuses that no test has waited for yet.
	maxRecordedStatuses = 1 << 14
)

// Keeper is the fake.
type Keeper struct {
	tb       testing.TB
	server   *httptest.Server
	stopping chan struct{}                 // closed when calls have to end
	statuses chan configlog.FollowerStatus // of the received calls

	mu            sync.Mutex
	log           *configlog.Log
	changed       chan struct{}    // closed at the next change
	override      http.HandlerFunc // answers calls if it is set
	seenInstances map[string]bool  // instances that have called
}

// New runs a keeper that ends with the test.
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

// Addr returns the address it listens on.
func (k *Keeper) Addr() string { return k.server.Listener.Addr().String() }

// Change makes a change and returns its revision.
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

// SetHandler has calls answered by another handler; nil restores the usual answers. Open calls are aborted.
func (k *Keeper) SetHandler(handler http.HandlerFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.override = handler
	k.wakeOpenCalls()
}

// wakeOpenCalls wakes open calls. The caller holds the lock.
func (k *Keeper) wakeOpenCalls() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// WaitForStatus waits for a call whose status fulfils the condition, and returns that status.
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
			k.tb.Fatal("no follower said that " + what)
		}
	}
}

// WaitForRevision waits for a call that says that a revision is in force.
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

// ServeHTTP implements http.Handler.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request followRequest
	err := json.NewDecoder(r.Body).Decode(&request)
	if err != nil || r.URL.Path != "/v1/follow" || r.Method != http.MethodPost {
		http.Error(w, "no such call", http.StatusNotFound)
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
		w.WriteHeader(http.StatusNoContent) // the keepers have not agreed on a new process when the call ends
		return
	}
	k.answerPoll(w, r, request)
}

func (k *Keeper) currentOverride() http.HandlerFunc {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.override
}

// recordInstance reports whether a process calls for the first time.
func (k *Keeper) recordInstance(instance string) (isNew bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	isNew = !k.seenInstances[instance]
	k.seenInstances[instance] = true
	return isNew
}

// answerPoll answers once there is an update or the wait is over. It aborts the connection once there is an override.
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

// nextAnswer returns the encoded update for a follower; nil if there is nothing newer. It encodes under the lock,
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
