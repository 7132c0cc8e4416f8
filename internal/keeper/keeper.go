package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/net/netutil"

	"windflow/internal/decide/configlog"
)

const (
	tick       = 500 * time.Millisecond // of what is looked at now and then; well below a quarter of a lease
	askAgain   = 200 * time.Millisecond // between two rounds of asking the other keepers at the start
	askWithin  = time.Second            // for one call to another keeper that answers from memory
	leaveWithn = 3 * time.Second        // for giving leadership up and for open calls, at the end
	spareConns = 512                    // connections beyond those of waiting followers
)

// Keeper is one running keeper.
type Keeper struct {
	o       Options
	log     *slog.Logger
	began   time.Time
	folder  *folder
	machine *stateMachine
	stores  *stores
	muted   atomic.Bool
	client  *http.Client
	figures figures

	begun    chan struct{} // closed when raft is set
	raft     *raft.Raft
	stopping chan struct{} // closed when calls have to come to an end
	stage    atomic.Value  // string; the folder's

	leadership turns // at each change of who leads, as far as this keeper knows

	changing chan struct{} // holds one token: a change at a time is checked and replicated
	settled  atomic.Uint64 // the term in which everything of former terms is known to be applied

	leasesMu sync.Mutex
	leases   *configlog.Leases

	joining joining
}

// Run is a keeper's life: it returns when ctx ends, after leadership was given up, or with what kept it from serving.
func Run(ctx context.Context, o Options) error {
	o, err := o.withDefaults()
	if err != nil {
		return err
	}
	k := &Keeper{
		o: o, log: o.Log, began: time.Now(), machine: newStateMachine(o.Retention), begun: make(chan struct{}),
		stopping: make(chan struct{}), changing: make(chan struct{}, 1),
		leadership: newTurns(),
		leases:     configlog.NewLeases(float64(o.LeaseDuration.Milliseconds())), joining: newJoining(),
	}
	k.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute,
		DialContext: (&net.Dialer{Timeout: askWithin}).DialContext,
	}}
	defer k.client.CloseIdleConnections()
	if k.folder, err = openFolder(o.Dir, o.Cluster, o.ID, o.Log); err != nil {
		return err
	}
	defer k.folder.close()
	if err := k.reach(k.folder.identity.Stage); err != nil {
		return err
	}
	replication, err := net.Listen("tcp", o.RaftAddr)
	if err != nil {
		return fmt.Errorf("--raft: %w", err)
	}
	defer func() { _ = replication.Close() }()
	calls, err := net.Listen("tcp", o.HTTPAddr)
	if err != nil {
		return fmt.Errorf("--http: %w", err)
	}
	return k.serve(ctx, calls, replication)
}

func (k *Keeper) reach(stage string) error {
	if err := k.folder.recordStage(stage); err != nil {
		return err
	}
	k.stage.Store(stage)
	return nil
}

// serve answers calls from the start on, so that other keepers can ask how far this one is, and replicates as soon as it
// is known how to begin.
func (k *Keeper) serve(ctx context.Context, calls, replication net.Listener) error {
	server := &http.Server{
		Handler: k.handler(), ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(k.log.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	go func() {
		failed <- server.Serve(netutil.LimitListener(counted{calls, &k.figures.bytesIn, &k.figures.bytesOut}, k.o.MaxWaitingFollowers+spareConns))
	}()
	k.log.Info("a keeper listens", "id", k.o.ID, "http", calls.Addr().String(), "raft", replication.Addr().String(), "stage", k.stage.Load())
	if k.o.OnReady != nil {
		k.o.OnReady(calls.Addr().String())
	}
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	var life sync.WaitGroup
	err := k.begin(inner, replication)
	if err == nil {
		life.Go(func() { k.housekeep(inner) })
		life.Go(func() { k.join(inner) })
		select {
		case <-ctx.Done():
		case err = <-failed:
		}
	}
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	cancel()
	life.Wait()
	return errors.Join(err, k.leave(server))
}

// leave gives leadership up first, so that the others need no timeout to see that it is gone.
func (k *Keeper) leave(server *http.Server) (err error) {
	begun := false
	select {
	case <-k.begun:
		begun = true
		if k.raft.State() == raft.Leader && len(k.o.Peers) > 1 {
			if err := k.raft.LeadershipTransfer().Error(); err != nil {
				k.log.Warn("leadership could not be handed over", "error", err)
			}
		}
	default:
	}
	close(k.stopping)
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithn)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
	if begun {
		err = k.raft.Shutdown().Error()
		k.stores.close()
	}
	k.log.Info("the keeper has ended", "id", k.o.ID)
	return err
}

// housekeep does what has to be looked at now and then.
func (k *Keeper) housekeep(ctx context.Context) {
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		k.leasesMu.Lock()
		k.leases.Tick(k.nowMS())
		k.leasesMu.Unlock()
		switch k.stage.Load() {
		case stageFounding:
			if k.raft.LastIndex() > 1 {
				k.grow(stageMember)
			}
		case stageJoining:
			k.caughtUp(ctx)
		}
	}
}

func (k *Keeper) grow(stage string) {
	if err := k.reach(stage); err != nil {
		k.log.Error("the folder's stage can't be written", "stage", stage, "error", err)
	}
}

// nowMS is a clock that doesn't go back, in milliseconds from the keeper's start.
func (k *Keeper) nowMS() float64 { return float64(time.Since(k.began)) / float64(time.Millisecond) }

// replicates tells whether raft runs.
func (k *Keeper) replicates() bool {
	select {
	case <-k.begun:
		return true
	default:
		return false
	}
}

// leader gives the keeper that leads as far as this one knows, and whether that is this one.
func (k *Keeper) leader() (id string, self bool) {
	if !k.replicates() {
		return "", false
	}
	_, leader := k.raft.LeaderWithID()
	return string(leader), string(leader) == k.o.ID && k.raft.State() == raft.Leader
}
