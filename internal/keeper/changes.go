package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"windflow/internal/decide/configlog"
)

const (
	// mostMoves bounds how often a change is checked anew because another revision came between.
	mostMoves = 3
	// enqueueWithin bounds the wait for raft to take an entry.
	enqueueWithin = time.Second
)

var errBusy = errors.New("too many changes wait for the one before them")

// changes is `POST /v1/changes`.
func (k *Keeper) changes(w http.ResponseWriter, r *http.Request) answer {
	var c configlog.Change
	body, no := readBody(w, r, maxBodyBytes, &c)
	if no != nil {
		return *no
	}
	return k.propose(r, c, body, "/v1/changes")
}

// revert is `POST /v1/revert`.
func (k *Keeper) revert(w http.ResponseWriter, r *http.Request) answer {
	var c struct {
		ID     string  `json:"id"`
		To     *uint64 `json:"to"`
		Expect *uint64 `json:"expect"`
		Note   string  `json:"note"`
	}
	body, no := readBody(w, r, maxBodyBytes, &c)
	if no != nil {
		return *no
	}
	if c.To == nil {
		return refuse(http.StatusBadRequest, "malformed", "field to is missing: the revision whose content is to be in force again")
	}
	return k.propose(r, configlog.Change{ID: c.ID, Expect: c.Expect, RevertTo: c.To, Note: c.Note}, body, "/v1/revert")
}

func (k *Keeper) propose(r *http.Request, c configlog.Change, body []byte, path string) answer {
	if c.ID == "" {
		return refuse(http.StatusBadRequest, "malformed", "field id is missing: it makes a repeated call one change")
	}
	k.figures.changesAsked.Add(1)
	a := k.viaLeader(r, k.o.ChangeTimeout, path, body, func(ctx context.Context) answer { return k.change(ctx, c) })
	if a.status == http.StatusServiceUnavailable {
		k.figures.changesUnserved.Add(1)
	}
	return a
}

// change checks a change and has it replicated, as the leader. One at a time, so that each is checked against what it
// will be laid over; an entry whose base has moved all the same (another leader came between) does nothing.
func (k *Keeper) change(ctx context.Context, c configlog.Change) answer {
	select {
	case k.changing <- struct{}{}:
		defer func() { <-k.changing }()
	case <-ctx.Done():
		return unserved("busy", doneNothing, "%v", errBusy)
	}
	if err := k.settle(); err != nil {
		return k.unreplicated(err, doneNothing)
	}
	c.AtMS = time.Now().UnixMilli()
	for range mostMoves {
		base, content, fault := k.machine.preview(c)
		if fault == nil {
			fault = k.o.Check(content)
		}
		if fault != nil {
			// A leader that was cut off or stopped must not speak for a group that has gone on without it.
			if err := k.raft.VerifyLeader().Error(); err != nil {
				return k.unreplicated(err, doneNothing)
			}
			k.figures.changesRefused.Add(1)
			return faulty(fault)
		}
		got, err := k.replicate(command{Change: &changeCommand{Base: base, Change: c}})
		if err != nil {
			return k.unreplicated(err, doneUnknown)
		}
		out := got.(changeOutcome)
		switch {
		case out.BaseMoved:
			continue
		case out.Err != nil:
			k.figures.changesRefused.Add(1)
			return faulty(out.Err)
		}
		if !out.Repeated {
			k.figures.changesMade.Add(1)
			k.log.Info("a revision is in the log", "revision", out.Revision, "change", c.ID)
		}
		return answer{http.StatusOK, changeResult{Revision: out.Revision, Repeated: out.Repeated}}
	}
	return unserved("busy", doneNothing, "%v", errBusy)
}

// changeResult is the answer to a change that has a revision.
type changeResult struct {
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"repeated"`
}

// settle waits, once in each term that this keeper leads, until what former leaders have replicated is applied here.
func (k *Keeper) settle() error {
	term := k.raft.CurrentTerm()
	if term == k.settled.Load() {
		return nil
	}
	if err := k.raft.Barrier(enqueueWithin).Error(); err != nil {
		return err
	}
	k.settled.Store(term)
	return nil
}

// replicate gives what the machine made of a command once a majority holds it.
func (k *Keeper) replicate(c command) (any, error) {
	data, err := c.encode()
	if err != nil {
		return nil, err
	}
	f := k.raft.Apply(data, enqueueWithin)
	if err := f.Error(); err != nil {
		return nil, err
	}
	return f.Response(), nil
}

// unreplicated turns an error of the replication into an answer. done is what is to be said where the error doesn't tell
// that nothing was done.
func (k *Keeper) unreplicated(err error, done string) answer {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return unserved("no-majority", doneNothing, "keeper %s: %v", k.o.ID, err)
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrRaftShutdown), errors.Is(err, raft.ErrAbortedByRestore):
		return unserved("no-majority", done, "keeper %s lost its majority: %v", k.o.ID, err)
	default:
		// What is left are errors of writing the entry here.
		k.figures.diskErrors.Add(1)
		text := err.Error()
		k.figures.diskError.Store(&text)
		k.log.Error("an entry can't be written", "error", err)
		return unserved("disk", done, "keeper %s can't write to its folder: %v; what is in force goes on being served", k.o.ID, err)
	}
}

// forget is `DELETE /v1/followers/NAME`.
func (k *Keeper) forget(_ http.ResponseWriter, r *http.Request) answer {
	name := r.PathValue("name")
	return k.viaLeader(r, k.o.ChangeTimeout, r.URL.EscapedPath(), nil, func(context.Context) answer {
		got, err := k.replicate(command{Forget: name})
		if err != nil {
			return k.unreplicated(err, doneUnknown)
		}
		return answer{http.StatusOK, map[string]bool{"forgotten": got.(bool)}}
	})
}

// configContent is what `GET /v1/config` gives.
type configContent struct {
	Revision uint64                     `json:"revision"`
	Hash     configlog.Hash             `json:"hash"`
	Entries  map[string]json.RawMessage `json:"entries"`
}

// config is `GET /v1/config`: what this keeper holds. It may be behind the leader by a moment, or while it is cut off.
func (k *Keeper) config(_ http.ResponseWriter, r *http.Request) answer {
	rev, no := number(r, "revision")
	if no != nil {
		return *no
	}
	wait, no := k.waiting(r)
	if no != nil {
		return *no
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		c, fault, changed := k.machine.contentAt(rev)
		switch {
		case fault == nil:
			return answer{http.StatusOK, c}
		case fault.Kind != configlog.ChangeInvalid:
			return faulty(fault)
		}
		select {
		case <-changed:
			continue
		case <-end.C:
		case <-k.stopping:
		case <-r.Context().Done():
		}
		return answer{http.StatusNotFound, fault}
	}
}

// revisions is `GET /v1/revisions`.
func (k *Keeper) revisions(_ http.ResponseWriter, r *http.Request) answer {
	from, no := number(r, "from")
	if no != nil {
		return *no
	}
	most, no := number(r, "most")
	if no != nil {
		return *no
	}
	first, n := uint64(0), uint64(20)
	now := k.machine.summary()
	if most != nil {
		n = min(*most, 1000)
	}
	switch {
	case from != nil:
		first = *from
	case now.Revision >= n:
		first = now.Revision - n + 1
	}
	return answer{http.StatusOK, map[string]any{"revision": now.Revision, "oldest": now.Oldest, "revisions": k.machine.history(first, int(n))}}
}
