package keeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// maxBodyBytes bounds what is read of a change: rollout.MaxChange in the longest way of writing it that makes sense.
const maxBodyBytes = 4 << 20

const (
	bodyWithin   = 10 * time.Second // for a caller to send a body
	answerWithin = 20 * time.Second // for a caller to take an answer
)

// figures count from the keeper's start.
type figures struct {
	calls, refused                                              atomic.Int64
	bytesIn, bytesOut                                           atomic.Int64 // of calls, headers with them
	raftIn, raftOut                                             atomic.Int64 // between keepers
	changesAsked, changesMade, changesRefused, changesUnserved  atomic.Int64
	passedOn                                                    atomic.Int64
	follows, followsRefused, waiting, snapshotsSent, deltasSent atomic.Int64
	diskErrors                                                  atomic.Int64
	diskError                                                   atomic.Pointer[string]
}

func (k *Keeper) handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, call := range map[string]func(http.ResponseWriter, *http.Request) answer{
		"POST /v1/changes":            k.changes,
		"POST /v1/revert":             k.revert,
		"GET /v1/config":              k.config,
		"GET /v1/revisions":           k.revisions,
		"GET /v1/rollout":             k.rollout,
		"POST /v1/follow":             k.follow,
		"DELETE /v1/followers/{name}": k.forget,
		"GET /v1/status":              k.status,
		// From keeper to keeper.
		"GET /v1/leases": func(http.ResponseWriter, *http.Request) answer { return answer{http.StatusOK, k.held()} },
		"GET /v1/peer":   func(http.ResponseWriter, *http.Request) answer { return answer{http.StatusOK, k.word()} },
		"GET /v1/leader": func(http.ResponseWriter, *http.Request) answer {
			w, err := k.leaderWord()
			if err != nil {
				return unserved("no-majority", doneNothing, "%v", err)
			}
			return answer{http.StatusOK, w}
		},
		"POST /v1/roster": k.roster,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			k.figures.calls.Add(1)
			k.write(w, call(w, r))
		})
	}
	return mux
}

func (k *Keeper) write(w http.ResponseWriter, a answer) {
	if a.status >= http.StatusBadRequest {
		k.figures.refused.Add(1)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWithin))
	if a.body == nil {
		w.WriteHeader(a.status)
		return
	}
	text, err := json.Marshal(a.body)
	if err != nil {
		k.log.Error("an answer can't be written as JSON", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(a.status)
	_, _ = w.Write(append(text, '\n'))
}

// readBody reads one JSON value, and nothing beside it, into out.
func readBody(w http.ResponseWriter, r *http.Request, most int64, out any) ([]byte, *answer) {
	// The bound in time is lifted again, because it would end a call that is held.
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(bodyWithin))
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	_ = conn.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		a := refuse(http.StatusRequestEntityTooLarge, "malformed", "the body has more than %d bytes", most)
		return nil, &a
	case err != nil:
		a := refuse(http.StatusBadRequest, "malformed", "the body can't be read: %v", err)
		return nil, &a
	}
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	err = d.Decode(out)
	if err == nil {
		if _, more := d.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("there is something after the JSON value")
		}
	}
	if err != nil {
		a := refuse(http.StatusBadRequest, "malformed", "%s", malformed(err))
		return nil, &a
	}
	return text, nil
}

// malformed names the field that an error of encoding/json is about.
func malformed(err error) string {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
		return fmt.Sprintf("field %s: a %s is no %s", kind.Field, kind.Value, kind.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fmt.Sprintf("field %s is not known", strings.Trim(name, `"`))
	}
	return err.Error()
}

// number reads a whole number of the query; nil if it is not there.
func number(r *http.Request, field string) (*uint64, *answer) {
	text := r.URL.Query().Get(field)
	if text == "" {
		return nil, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		a := refuse(http.StatusBadRequest, "malformed", "field %s: %q is no whole number", field, text)
		return nil, &a
	}
	return &n, nil
}

// waiting reads wait_ms, bounded.
func (k *Keeper) waiting(r *http.Request) (time.Duration, *answer) {
	n, no := number(r, "wait_ms")
	if n == nil || no != nil {
		return 0, no
	}
	return time.Duration(min(*n, uint64(mostWait.Milliseconds()))) * time.Millisecond, nil
}

// status is `GET /v1/status`: how this keeper is, by its own word.
func (k *Keeper) status(http.ResponseWriter, *http.Request) answer {
	f, now := &k.figures, k.machine.summary()
	leader, _ := k.leader()
	h := k.held()
	out := map[string]any{
		"id": k.o.ID, "cluster": k.o.Cluster, "uptime_ms": int64(k.nowMS()), "leader": leader, "majority": leader != "",
		"revision": now.Revision, "oldest": now.Oldest, "hash": now.Hash,
		"followers": len(h.Leases), "settled": h.Settled, "roster": len(k.machine.followerNames()),
		"folder": map[string]any{"dir": k.o.Dir, "stage": k.stage.Load(), "votes": !k.muted.Load(), "aside": k.folder.listAside()},
		"counters": map[string]int64{
			"calls": f.calls.Load(), "refused": f.refused.Load(), "bytes_in": f.bytesIn.Load(), "bytes_out": f.bytesOut.Load(),
			"raft_bytes_in": f.raftIn.Load(), "raft_bytes_out": f.raftOut.Load(),
			"changes": f.changesAsked.Load(), "changes_made": f.changesMade.Load(), "changes_refused": f.changesRefused.Load(),
			"changes_unserved": f.changesUnserved.Load(), "passed_on": f.passedOn.Load(),
			"follows": f.follows.Load(), "follows_refused": f.followsRefused.Load(), "waiting": f.waiting.Load(),
			"snapshots_sent": f.snapshotsSent.Load(), "deltas_sent": f.deltasSent.Load(), "disk_errors": f.diskErrors.Load(),
		},
	}
	if k.replicates() {
		out["state"], out["term"] = k.raft.State().String(), k.raft.CurrentTerm()
		out["last_index"], out["applied_index"] = k.raft.LastIndex(), k.raft.AppliedIndex()
		// A leader that hears no majority steps down by itself within its lease; a follower may still name a leader that
		// it has not heard for a while.
		if k.raft.State() != raft.Leader && time.Since(k.raft.LastContact()) > 2*k.o.Heartbeat {
			out["majority"] = false
		}
	} else {
		out["state"], out["term"] = "Waiting", 0
	}
	if text := f.diskError.Load(); text != nil {
		out["disk_error"] = *text
	}
	return answer{http.StatusOK, out}
}
