package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maintenanceInterval is the time between two checks of the leases and the stage. It must be well below a quarter
	// of the lease duration.
	maintenanceInterval = 500 * time.Millisecond
	// shutdownTimeout bounds the wait for open calls at shutdown.
	shutdownTimeout = 3 * time.Second
	// spareConns is the number of HTTP connections allowed beyond those of waiting followers.
	spareConns = 512

	headerTimeout   = 5 * time.Second
	connIdleTimeout = time.Minute
	maxHeaderBytes  = 16 << 10
)

// keeper holds the parts of one running keeper.
type keeper struct {
	options     *Options
	log         *slog.Logger
	counters    *counters
	leases      *leaseTable
	peers       *peerClient
	replication *replication
	membership  *membership
	enrollment  *enrollment
	api         *api
	stopping    chan struct{} // closed when open calls have to end
}

// Run runs one keeper until ctx ends. If the keeper leads at that time, it transfers leadership before Run returns. Run
// returns an error if the keeper cannot start or can no longer serve.
func Run(ctx context.Context, options Options) error {
	options, err := options.withDefaults()
	if err != nil {
		return err
	}
	leases := newLeaseTable(options.ID, options.LeaseDuration)
	folder, err := openFolder(options.Dir, options.Cluster, options.ID, options.Log)
	if err != nil {
		return err
	}
	defer folder.close()
	instance := newKeeper(&options, folder, leases)
	defer instance.peers.close()
	if err := instance.membership.recordStage(folder.identity.Stage); err != nil {
		return err
	}
	raftListener, err := net.Listen("tcp", options.RaftAddr)
	if err != nil {
		return fmt.Errorf("--raft: %w", err)
	}
	defer func() { _ = raftListener.Close() }()
	httpListener, err := net.Listen("tcp", options.HTTPAddr)
	if err != nil {
		return fmt.Errorf("--http: %w", err)
	}
	return instance.run(ctx, httpListener, raftListener)
}

// newKeeper creates and connects the parts of a keeper without starting anything.
func newKeeper(options *Options, folder *folder, leases *leaseTable) *keeper {
	counters := &counters{}
	stopping := make(chan struct{})
	machine := newStateMachine(options.Retention)
	peers := newPeerClient(options.ID, options.Peers)
	replication := newReplication(options, machine, counters)
	membership := newMembership(options, folder, replication, peers, leases.startedAt)
	proxy := &leaderProxy{
		keeperID:    options.ID,
		replication: replication,
		peers:       peers,
		forwarded:   &counters.forwarded,
		stopping:    stopping,
	}
	pending := newPendingFollowers()
	enrollment := newEnrollment(options.ChangeTimeout, machine, replication, proxy, pending)
	convergence := &convergenceService{
		keeperID:     options.ID,
		stateMachine: machine,
		replication:  replication,
		peers:        peers,
		proxy:        proxy,
		leases:       leases,
		stopping:     stopping,
	}
	status := &statusService{
		options:      options,
		stateMachine: machine,
		replication:  replication,
		membership:   membership,
		leases:       leases,
		counters:     counters,
	}
	api := &api{
		bodies:      newBodyLimiter(),
		log:         options.Log,
		counters:    counters,
		changes:     newChangeService(options, machine, replication, proxy, counters),
		config:      &configReader{stateMachine: machine, stopping: stopping},
		follow:      newFollowService(options, machine, leases, pending, counters, stopping),
		enrollment:  enrollment,
		convergence: convergence,
		status:      status,
		leases:      leases,
		membership:  membership,
		replication: replication,
	}
	return &keeper{
		options:     options,
		log:         options.Log,
		counters:    counters,
		leases:      leases,
		peers:       peers,
		replication: replication,
		membership:  membership,
		enrollment:  enrollment,
		api:         api,
		stopping:    stopping,
	}
}

// run serves HTTP calls from the beginning, so that other keepers can query this keeper's status. Replication starts
// once it is known whether to bootstrap or to join a group.
func (k *keeper) run(ctx context.Context, httpListener, raftListener net.Listener) error {
	server := k.newServer()
	var serving sync.WaitGroup
	serveFailed := make(chan error, 1)
	serving.Go(func() {
		counting := countingListener{httpListener, &k.counters.bytesIn, &k.counters.bytesOut}
		serveFailed <- server.Serve(counting)
	})
	httpAddr := httpListener.Addr().String()
	k.log.Info("keeper listening",
		"id", k.options.ID, "http", httpAddr, "raft", raftListener.Addr().String(), "stage", k.membership.stage())
	if k.options.OnReady != nil {
		k.options.OnReady(httpAddr)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	err := k.membership.join(ctx, raftListener)
	if err == nil {
		background.Go(func() { k.maintain(ctx) })
		background.Go(func() { k.enrollment.run(ctx) })
		select {
		case <-ctx.Done():
		case err = <-serveFailed:
		}
	}
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	cancel()
	background.Wait()
	err = errors.Join(err, k.shutdown(server))
	serving.Wait()
	return err
}

func (k *keeper) newServer() *http.Server {
	return &http.Server{
		Handler:           k.api.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       connIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         newConnectionLimiter(k.options.MaxWaitingFollowers + spareConns).connState,
		ErrorLog:          slog.NewLogLogger(k.log.Handler(), slog.LevelDebug),
	}
}

// maintain checks the leases and the stage every maintenanceInterval until ctx ends.
func (k *keeper) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		k.leases.tick()
		k.membership.advanceStage(ctx)
	}
}

// shutdown transfers leadership, then ends the open calls, and then stops the replication.
func (k *keeper) shutdown(server *http.Server) error {
	k.replication.transferLeadership()
	close(k.stopping)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
	err := k.replication.shutdown()
	k.log.Info("keeper stopped", "id", k.options.ID)
	return err
}
