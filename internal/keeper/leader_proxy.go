package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"windflow/internal/decide/configlog"
)

// fromKeeper marks a call that another keeper passed on, with that keeper's id. It is not passed on again.
const fromKeeper = "Windflow-Keeper"

// mostAnswer bounds what is read of another keeper's answer: the leases of all followers fit.
const mostAnswer = 64 << 20

// answer is what a call gets, here or at the leader.
type answer struct {
	status int
	body   any // as JSON; nothing for nil
}

// errorBody is the body of an answer that isn't yes, where it is no rollout.Fault.
type errorBody struct {
	Kind   string `json:"kind"` // "malformed", "no-majority", "disk", "busy", "starting", "stopping", "not-there"
	Reason string `json:"reason"`
	// Done says what became of a change: "nothing", or "unknown": the same call again, with the same id, tells.
	Done string `json:"done,omitempty"`
}

const (
	doneNothing = "nothing"
	doneUnknown = "unknown"
)

func refuse(status int, kind, format string, a ...any) answer {
	return answer{status, errorBody{Kind: kind, Reason: fmt.Sprintf(format, a...)}}
}

// unserved is a refusal of a change that another leader may take.
func unserved(kind, done, format string, a ...any) answer {
	return answer{http.StatusServiceUnavailable, errorBody{Kind: kind, Reason: fmt.Sprintf(format, a...), Done: done}}
}

// faulty gives a fault of a change or a question its status.
func faulty(f *configlog.ChangeError) answer {
	switch f.Kind {
	case configlog.ChangeConflict, configlog.ChangeIDReused:
		return answer{http.StatusConflict, f}
	case configlog.RevisionCompacted:
		return answer{http.StatusGone, f}
	default:
		return answer{http.StatusUnprocessableEntity, f}
	}
}

// viaLeader has local done by the leader: here if this keeper leads, else by passing the call on. While there is no
// leader, or it goes away, the call is tried again until within is over; what is tried more than once must be one and the
// same thing then. A call that was passed on to this keeper is tried once.
func (k *Keeper) viaLeader(r *http.Request, within time.Duration, path string, body []byte, local func(context.Context) answer) answer {
	ctx, cancel := context.WithTimeout(r.Context(), within)
	defer cancel()
	passed := r.Header.Get(fromKeeper) != ""
	unknown := false
	for {
		turned := k.leadership.after()
		a := k.once(ctx, r.Method, path, body, local, passed)
		no, again := a.body.(errorBody)
		if !again || a.status != http.StatusServiceUnavailable || passed {
			return a
		}
		unknown = unknown || no.Done == doneUnknown
		select {
		case <-turned:
			continue
		case <-time.After(askAgain):
			continue
		case <-k.stopping:
		case <-ctx.Done():
		}
		if unknown {
			no.Done = doneUnknown
		}
		a.body = no
		return a
	}
}

// once is one try of viaLeader.
func (k *Keeper) once(ctx context.Context, method, path string, body []byte, local func(context.Context) answer, passed bool) answer {
	id, self := k.leader()
	p, ok := k.o.peer(id)
	switch {
	case self:
		return local(ctx)
	case !k.replicates():
		return unserved("starting", doneNothing, "keeper %s has an empty folder and waits for the other keepers", k.o.ID)
	case passed:
		return unserved("no-majority", doneNothing, "keeper %s does not lead", k.o.ID)
	case !ok || id == k.o.ID:
		return unserved("no-majority", doneNothing, "keeper %s is in touch with no majority of the %d keepers; nothing is changed without one", k.o.ID, len(k.o.Peers))
	}
	k.figures.passedOn.Add(1)
	return k.passOn(ctx, p, method, path, body)
}

// passOn asks the leader, for as long as it is the leader: the answer of one that was stopped or cut off may never come.
func (k *Keeper) passOn(ctx context.Context, p Peer, method, path string, body []byte) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for {
			turned := k.leadership.after()
			if id, _ := k.leader(); id != p.ID {
				cancel()
			}
			select {
			case <-turned:
			case <-ctx.Done():
				return
			}
		}
	}()
	q, err := k.request(ctx, p, method, path, body)
	if err != nil {
		return unserved("no-majority", doneNothing, "%v", err)
	}
	a, err := k.client.Do(q)
	if err != nil {
		done := doneUnknown
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			done = doneNothing
		}
		return unserved("no-majority", done, "the leader %s does not answer: %v", p.ID, reason(err))
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(a.Body, mostAnswer))
	if err != nil {
		return unserved("no-majority", doneUnknown, "the leader %s broke off: %v", p.ID, reason(err))
	}
	if a.StatusCode == http.StatusServiceUnavailable {
		var no errorBody
		if json.Unmarshal(text, &no) == nil && no.Kind != "" {
			return answer{a.StatusCode, no}
		}
	}
	return answer{a.StatusCode, json.RawMessage(text)}
}

// reason leaves the URL out of an error of the client.
func reason(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

func (k *Keeper) request(ctx context.Context, p Peer, method, path string, body []byte) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+p.HTTPAddr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set(fromKeeper, k.o.ID)
	return q, nil
}

// call asks another keeper, and reads its answer into out. Any status but 200 is an error.
func (k *Keeper) call(ctx context.Context, p Peer, within time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	q, err := k.request(ctx, p, method, path, body)
	if err != nil {
		return err
	}
	a, err := k.client.Do(q)
	if err != nil {
		return reason(err)
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("keeper %s answers %s", p.ID, a.Status)
	}
	return json.NewDecoder(io.LimitReader(a.Body, mostAnswer)).Decode(out)
}
