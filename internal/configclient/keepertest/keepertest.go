// Package keepertest has a stand-in for a keeper, for tests of those that follow one: the real log of revisions behind the
// real calls, in one process and without a replica, which can be told to misbehave.
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

// within bounds the wait for what a test waits for: it is reached by a test that fails only.
const within = 30 * time.Second

// Keeper is the stand-in.
type Keeper struct {
	t      testing.TB
	server *httptest.Server
	stop   chan struct{}

	mu      sync.Mutex
	log     *configlog.Log
	changed chan struct{} // closed at the next change
	instead http.HandlerFunc
	heard   chan configlog.FollowerStatus
	noted   map[string]bool // instances
}

// New runs a keeper that ends with the test.
func New(t testing.TB) *Keeper {
	k := &Keeper{
		t: t, log: configlog.NewLog(configlog.DefaultRetention), changed: make(chan struct{}), stop: make(chan struct{}),
		heard: make(chan configlog.FollowerStatus, 1<<14), noted: map[string]bool{},
	}
	k.server = httptest.NewServer(k)
	t.Cleanup(func() {
		close(k.stop)
		k.server.CloseClientConnections()
		k.server.Close()
	})
	return k
}

// Addr is where it listens.
func (k *Keeper) Addr() string { return k.server.Listener.Addr().String() }

// Change makes a change, and gives its revision.
func (k *Keeper) Change(put map[string]string, remove ...string) uint64 {
	k.t.Helper()
	k.mu.Lock()
	defer k.mu.Unlock()
	c := configlog.Change{ID: "c" + strconv.FormatUint(k.log.Revision(), 10), Put: map[string]json.RawMessage{}, Remove: remove}
	for p, v := range put {
		c.Put[p] = json.RawMessage(v)
	}
	r := k.log.Apply(c)
	if r.Err != nil {
		k.t.Fatal(r.Err)
	}
	close(k.changed)
	k.changed = make(chan struct{})
	return r.Revision
}

// SetHandler has calls answered by another handler; nil for as usual. Calls that are open end.
func (k *Keeper) SetHandler(h http.HandlerFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instead = h
	close(k.changed)
	k.changed = make(chan struct{})
}

// WaitForStatus waits for a call that says so.
func (k *Keeper) WaitForStatus(what string, ok func(configlog.FollowerStatus) bool) configlog.FollowerStatus {
	k.t.Helper()
	late := time.After(within)
	for {
		select {
		case r := <-k.heard:
			if ok(r) {
				return r
			}
		case <-late:
			k.t.Fatal("no follower said that " + what)
		}
	}
}

// WaitForRevision waits for a call that says that a revision is in force.
func (k *Keeper) WaitForRevision(revision uint64) configlog.FollowerStatus {
	k.t.Helper()
	return k.WaitForStatus("revision "+strconv.FormatUint(revision, 10)+" is in force",
		func(r configlog.FollowerStatus) bool { return r.Revision == revision })
}

// ServeHTTP implements http.Handler.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Report configlog.FollowerStatus `json:"report"`
		WaitMS int                      `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil || r.URL.Path != "/v1/follow" || r.Method != http.MethodPost {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if err := ask.Report.Check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	instead := k.instead
	k.mu.Unlock()
	if instead != nil {
		instead(w, r)
		return
	}
	select {
	case k.heard <- ask.Report:
	default:
	}
	k.mu.Lock()
	newcomer := !k.noted[ask.Report.Instance]
	k.noted[ask.Report.Instance] = true
	k.mu.Unlock()
	if newcomer && ask.WaitMS == 0 { // the keepers have not agreed on it when the call ends
		w.WriteHeader(http.StatusNoContent)
		return
	}
	late := time.After(time.Duration(ask.WaitMS) * time.Millisecond)
	for {
		k.mu.Lock()
		u, changed, bad := k.log.NextUpdate(ask.Report), k.changed, k.instead != nil
		text, err := json.Marshal(u)
		k.mu.Unlock()
		if err != nil {
			panic(err)
		}
		if !u.IsEmpty() {
			_, _ = w.Write(text)
			return
		}
		if bad {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-late:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		case <-k.stop:
			return
		}
	}
}
