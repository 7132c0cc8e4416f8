package keeper

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"windflow/internal/decide/configlog"
)

const (
	// mostWait bounds how long a call may wait for something to come about.
	mostWait = 30 * time.Second
	// lookAgain is between two looks at all keepers' leases while an operator waits for a verdict.
	lookAgain = 100 * time.Millisecond
)

// convergenceReport is what `GET /v1/rollout` gives. Everywhere is said only by a leader that a majority has confirmed after the
// leases were gathered.
type convergenceReport struct {
	configlog.ConvergenceStatus
	Keeper   string `json:"keeper"` // whose verdict it is
	Majority bool   `json:"majority"`
	Why      string `json:"why,omitempty"` // why there is no majority's word
}

// keeperLeases are the leases of one keeper.
type keeperLeases struct {
	Keeper  string            `json:"keeper"`
	Settled bool              `json:"settled"` // false for a while after a start or a stop: not everyone has called yet
	Leases  []configlog.Lease `json:"leases"`
}

func (k *Keeper) held() keeperLeases {
	k.leasesMu.Lock()
	defer k.leasesMu.Unlock()
	now := k.nowMS()
	return keeperLeases{Keeper: k.o.ID, Settled: k.leases.IsComplete(now), Leases: k.leases.Live(now)}
}

// rollout is `GET /v1/rollout`. It waits until the revision is in force everywhere, at most for wait_ms, and is judged by
// the leader; where none is to be had, this keeper says what it sees, and that no majority confirms it.
func (k *Keeper) rollout(_ http.ResponseWriter, r *http.Request) answer {
	rev, no := number(r, "revision")
	if no != nil {
		return *no
	}
	wait, no := k.waiting(r)
	if no != nil {
		return *no
	}
	until := time.Now().Add(wait)
	passed := r.Header.Get(fromKeeper) != ""
	for {
		ctx, cancel := context.WithTimeout(r.Context(), max(time.Until(until), 0)+3*askWithin)
		path := "/v1/rollout?" + query(rev, max(time.Until(until), 0))
		a := k.once(ctx, r.Method, path, nil, func(ctx context.Context) answer { return k.watch(ctx, rev, until) }, passed)
		cancel()
		if a.status != http.StatusServiceUnavailable || passed {
			return a
		}
		if time.Until(until) <= 0 || !k.pause(r.Context(), lookAgain) {
			return k.unconfirmed(r.Context(), rev, a)
		}
	}
}

func query(rev *uint64, wait time.Duration) string {
	q := url.Values{"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	if rev != nil {
		q.Set("revision", strconv.FormatUint(*rev, 10))
	}
	return q.Encode()
}

// pause waits; false if the call has to end.
func (k *Keeper) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
	case <-k.stopping:
	}
	return false
}

// watch judges as the leader until the revision is everywhere or the time is up.
func (k *Keeper) watch(ctx context.Context, rev *uint64, until time.Time) answer {
	for {
		heard, unreached := k.gather(ctx)
		if !k.machine.convergence(rev, heard, unreached).Converged && time.Until(until) > 0 && k.pause(ctx, min(lookAgain, time.Until(until))) {
			continue
		}
		// A majority confirms, after the leases were gathered, that this keeper leads, and all that it had agreed on until
		// then is applied here: no revision and no name that a keeper knew when it was asked is missing in the verdict.
		if err := k.raft.Barrier(enqueueWithin).Error(); err != nil {
			return k.unreplicated(err, doneNothing)
		}
		return answer{http.StatusOK, convergenceReport{ConvergenceStatus: k.machine.convergence(rev, heard, unreached), Keeper: k.o.ID, Majority: true}}
	}
}

// unconfirmed is what this keeper sees by itself.
func (k *Keeper) unconfirmed(ctx context.Context, rev *uint64, because answer) answer {
	heard, unreached := k.gather(ctx)
	v := convergenceReport{ConvergenceStatus: k.machine.convergence(rev, heard, unreached), Keeper: k.o.ID}
	v.Converged = false
	if no, ok := because.body.(errorBody); ok {
		v.Why = no.Reason
	}
	return answer{http.StatusOK, v}
}

// gather asks all keepers for their leases, at once. A keeper that doesn't answer, or that may not have heard everyone
// yet, counts as unreached; what it did hear counts.
func (k *Keeper) gather(ctx context.Context) (heard []configlog.Lease, unreached []string) {
	var mu sync.Mutex
	add := func(id string, h keeperLeases, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		heard = append(heard, h.Leases...)
		if !ok || !h.Settled {
			unreached = append(unreached, id)
		}
	}
	var asked sync.WaitGroup
	for _, p := range k.others() {
		asked.Go(func() {
			var h keeperLeases
			err := k.call(ctx, p, askWithin, http.MethodGet, "/v1/leases", nil, &h)
			add(p.ID, h, err == nil && h.Keeper == p.ID)
		})
	}
	add(k.o.ID, k.held(), true)
	asked.Wait()
	return heard, unreached
}

// convergence gives the verdict on a revision; nil stands for the one in force.
func (m *stateMachine) convergence(rev *uint64, heard []configlog.Lease, unreached []string) configlog.ConvergenceStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.log.Revision()
	if rev != nil {
		r = *rev
	}
	return m.log.Convergence(r, heard, unreached)
}
