package keeper

import (
	"context"
	"net/http"
	"sync"
	"time"

	"windflow/internal/decide/configlog"
)

const (
	mostReport = 64 << 10
	// mostJoining bounds the processes that wait for their place on the roster, and joinAtOnce those in one entry.
	mostJoining  = configlog.MaxMembers
	maxJoinBatch = 500
	// The wait after a try that failed grows from joinAgain to joinLatest: with a full disk each try costs an election.
	joinAgain  = 100 * time.Millisecond
	joinLatest = 2 * time.Second
)

// follow is `POST /v1/follow`: a follower says what it has and gets what is newer, as soon as there is something newer.
// One whose process is not on the replicated roster gets nothing until it is: from then on no verdict overlooks it.
func (k *Keeper) follow(w http.ResponseWriter, r *http.Request) answer {
	var q struct {
		Report configlog.FollowerStatus `json:"report"`
		WaitMS *int                     `json:"wait_ms"`
	}
	if _, no := readBody(w, r, mostReport, &q); no != nil {
		return *no
	}
	if err := q.Report.Check(); err != nil {
		return refuse(http.StatusBadRequest, "malformed", "field report: %v", err)
	}
	hold := k.o.MaxPollWait
	if q.WaitMS != nil {
		hold = time.Duration(min(max(*q.WaitMS, 0), int(k.mostHold().Milliseconds()))) * time.Millisecond
	}
	if n := k.figures.waiting.Add(1); n > int64(k.o.MaxWaitingFollowers) {
		k.figures.waiting.Add(-1)
		k.figures.followsRefused.Add(1)
		w.Header().Set("Retry-After", "1")
		return refuse(http.StatusServiceUnavailable, "busy", "%d followers wait here already; ask another keeper", k.o.MaxWaitingFollowers)
	}
	defer k.figures.waiting.Add(-1)
	k.figures.follows.Add(1)
	k.leasesMu.Lock()
	k.leases.Renew(k.nowMS(), q.Report)
	k.leasesMu.Unlock()
	u, news := k.await(r.Context(), q.Report, hold)
	if !news {
		return answer{status: http.StatusNoContent}
	}
	if u.Snapshot {
		k.figures.snapshotsSent.Add(1)
	} else if !u.KeeperBehind {
		k.figures.deltasSent.Add(1)
	}
	return answer{http.StatusOK, u}
}

// mostHold keeps a follower's lease alive through its call.
func (k *Keeper) mostHold() time.Duration { return k.o.LeaseDuration / 2 }

// await gives what a follower needs as soon as there is something; false when the time is up. That this keeper is behind
// the follower it says only at the end: it may yet catch up, and the follower doesn't call again at once.
func (k *Keeper) await(ctx context.Context, report configlog.FollowerStatus, hold time.Duration) (u configlog.Update, news bool) {
	end := time.NewTimer(hold)
	defer end.Stop()
	for asked := false; ; {
		u, known, changed := k.machine.nextUpdate(report)
		if !known && !asked {
			// Once a call: several processes under one name, more than the roster keeps, would push each other out for ever.
			k.joining.add(followerProcess{report.Name, report.Instance})
			asked = true
		}
		if known && !u.IsEmpty() && !u.KeeperBehind {
			return u, true
		}
		select {
		case <-changed:
			continue
		case <-end.C:
		case <-k.stopping:
		case <-ctx.Done():
		}
		return u, known && u.KeeperBehind
	}
}

// joining are processes of followers that are not on the roster yet.
type joining struct {
	mu    sync.Mutex
	seats map[followerProcess]bool
	some  chan struct{}
}

func newJoining() joining {
	return joining{seats: map[followerProcess]bool{}, some: make(chan struct{}, 1)}
}

func (j *joining) add(s followerProcess) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.seats) < mostJoining {
		j.seats[s] = true
	}
	select {
	case j.some <- struct{}{}:
	default:
	}
}

// take gives some of them, and takes them out.
func (j *joining) take() (seats []followerProcess) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for s := range j.seats {
		if len(seats) == maxJoinBatch {
			break
		}
		seats = append(seats, s)
		delete(j.seats, s)
	}
	return seats
}

// join has new processes put on the roster, many at once, beside the calls that brought them.
func (k *Keeper) join(ctx context.Context) {
	again := joinAgain
	for {
		turned := k.leadership.after()
		seats := k.machine.unregistered(k.joining.take())
		if len(seats) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-k.joining.some:
			}
			continue
		}
		if k.enrol(ctx, seats) {
			again = joinAgain
			continue
		}
		for _, s := range seats {
			k.joining.add(s)
		}
		select {
		case <-ctx.Done():
			return
		case <-turned:
		case <-time.After(again):
			again = min(2*again, joinLatest)
		}
	}
}

// enrol puts processes on the roster, here or at the leader; false if that has to be tried again.
func (k *Keeper) enrol(ctx context.Context, seats []followerProcess) bool {
	id, self := k.leader()
	if self {
		_, err := k.replicate(command{Join: seats})
		return err == nil
	}
	p, ok := k.o.peer(id)
	if !ok || id == k.o.ID {
		return false
	}
	var done struct{}
	return k.call(ctx, p, k.o.ChangeTimeout, http.MethodPost, "/v1/roster", seats, &done) == nil
}

// roster is `POST /v1/roster`, from keeper to keeper.
func (k *Keeper) roster(w http.ResponseWriter, r *http.Request) answer {
	var seats []followerProcess
	if _, no := readBody(w, r, maxBodyBytes, &seats); no != nil {
		return *no
	}
	if len(seats) > maxJoinBatch {
		return refuse(http.StatusBadRequest, "malformed", "%d processes, at most %d at once", len(seats), maxJoinBatch)
	}
	return k.once(r.Context(), r.Method, "", nil, func(context.Context) answer {
		if seats = k.machine.unregistered(seats); len(seats) > 0 {
			if _, err := k.replicate(command{Join: seats}); err != nil {
				return k.unreplicated(err, doneUnknown)
			}
		}
		return answer{http.StatusOK, struct{}{}}
	}, true)
}
