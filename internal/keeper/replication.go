package keeper

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// quietBeats is how long a keeper that lost its folder stays out of elections at least, in heartbeat timeouts: longer than
// any election that its former self may have voted in, which a candidate gives up after two of them.
const quietBeats = 5

// others are the keepers but this one.
func (k *Keeper) others() []Peer {
	return slices.DeleteFunc(slices.Clone(k.o.Peers), func(p Peer) bool { return p.ID == k.o.ID })
}

// begin finds out how to start, and starts the replication.
func (k *Keeper) begin(ctx context.Context, listener net.Listener) (err error) {
	stage := k.folder.identity.Stage
	if stage == stageNew {
		if stage, err = k.found(ctx); err != nil {
			return err
		}
	}
	log := raftLog{to: k.log.With("part", "raft"), name: "raft"}
	if k.stores, err = openStores(k.o.Dir, log); err != nil {
		return err
	}
	if err := k.reach(stage); err != nil {
		k.stores.close()
		return err
	}
	k.muted.Store(stage == stageJoining && !k.o.AcceptLoss)
	if stage == stageJoining && k.o.AcceptLoss {
		k.log.Warn("this keeper votes without its folder, as it was told to: what only lost keepers held is given up")
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(k.o.ID)
	c.HeartbeatTimeout, c.ElectionTimeout = k.o.Heartbeat, k.o.Heartbeat
	c.LeaderLeaseTimeout = k.o.Heartbeat * 3 / 4
	c.MaxAppendEntries = 16
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = k.o.SnapshotThreshold, k.o.SnapshotThreshold/2, k.o.SnapshotInterval
	c.Logger = log
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		ServerAddressProvider: addresses{&k.o}, Logger: log,
		Stream: stream{counted{listener, &k.figures.raftIn, &k.figures.raftOut}}, MaxPool: 3, Timeout: 2 * time.Second,
	})
	trans := newTransport(network, &k.muted)
	if stage == stageFounding {
		err = k.bootstrap(c, trans)
	}
	if err == nil {
		k.raft, err = raft.NewRaft(c, k.machine, checksummedLog{k.stores.entries}, k.stores.votes, k.stores.snapshots, trans)
	}
	if err == nil {
		err = k.sameGroup()
	}
	if err != nil {
		if k.raft != nil {
			_ = k.raft.Shutdown().Error()
		}
		_ = trans.Close()
		k.stores.close()
		return fmt.Errorf("the replication can't start: %w", err)
	}
	k.raft.RegisterObserver(raft.NewObserver(nil, false, func(o *raft.Observation) bool {
		switch o.Data.(type) {
		case raft.LeaderObservation, raft.RaftState:
			k.leadership.turn()
		}
		return false
	}))
	close(k.begun)
	return nil
}

// turns wakes whoever waits for something to change.
type turns struct {
	mu   sync.Mutex
	next chan struct{}
}

func newTurns() turns { return turns{next: make(chan struct{})} }

// turn wakes those that have asked so far.
func (t *turns) turn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.next)
	t.next = make(chan struct{})
}

// after is closed at the next turn.
func (t *turns) after() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// bootstrap writes the list of keepers as the first entry, the same at each of them.
func (k *Keeper) bootstrap(c *raft.Config, trans raft.Transport) error {
	var list raft.Configuration
	for _, p := range k.o.Peers {
		// The ids stand for addresses too: see addresses.
		list.Servers = append(list.Servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.ID)})
	}
	slices.SortFunc(list.Servers, func(a, b raft.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	err := raft.BootstrapCluster(c, k.stores.entries, k.stores.votes, k.stores.snapshots, trans, list)
	if errors.Is(err, raft.ErrCantBootstrap) { // done before a crash
		return nil
	}
	return err
}

// sameGroup refuses a --peers that names other keepers than the group was founded with: each would count another majority.
func (k *Keeper) sameGroup() error {
	f := k.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	servers := f.Configuration().Servers
	if len(servers) == 0 {
		return nil
	}
	var was, is []string
	for _, s := range servers {
		was = append(was, string(s.ID))
	}
	for _, p := range k.o.Peers {
		is = append(is, p.ID)
	}
	slices.Sort(was)
	slices.Sort(is)
	if !slices.Equal(was, is) {
		return fmt.Errorf("--peers: names %s, but the group was founded with %s", strings.Join(is, ", "), strings.Join(was, ", "))
	}
	return nil
}

// peerStatus is what keepers tell each other of themselves.
type peerStatus struct {
	Cluster string `json:"cluster"`
	ID      string `json:"id"`
	Stage   string `json:"stage"`
	Leader  string `json:"leader"`
}

func (k *Keeper) word() peerStatus {
	w := peerStatus{Cluster: k.o.Cluster, ID: k.o.ID, Stage: k.stage.Load().(string)}
	w.Leader, _ = k.leader()
	if w.Stage == stageFounding && k.replicates() && k.raft.LastIndex() > 1 {
		w.Stage = stageMember
	}
	return w
}

// found waits until it is clear whether the group exists. It exists if any keeper belongs to it; then this one joins. It
// is founded only when every keeper answers and none has anything: were a majority enough, then keepers that lost their
// folders could found a second group while those that hold the first are down.
func (k *Keeper) found(ctx context.Context) (stage string, err error) {
	said := ""
	for {
		fresh, silent := 0, []string{}
		words := k.askAll(ctx)
		for _, p := range k.others() {
			w, ok := words[p.ID]
			switch {
			case !ok:
				silent = append(silent, p.ID)
			case w.Cluster != k.o.Cluster || w.ID != p.ID:
				silent = append(silent, fmt.Sprintf("%s (%s answers as %q of cluster %q)", p.ID, p.HTTPAddr, w.ID, w.Cluster))
			case w.Stage == stageMember || w.Stage == stageJoining:
				k.log.Warn("the group exists and this keeper's folder is empty: it joins and catches up before it votes", "asked", p.ID)
				return stageJoining, nil
			default:
				fresh++
			}
		}
		if fresh == len(k.others()) {
			k.log.Info("no keeper has anything yet: the group is founded", "keepers", len(k.o.Peers))
			return stageFounding, nil
		}
		if now := strings.Join(silent, ", "); now != said {
			said = now
			k.log.Warn("this keeper's folder is empty; it waits until a member of the group or all others answer", "silent", now)
		}
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-time.After(askAgain):
		}
	}
}

// askAll asks all others what they are, at once; those that don't answer are missing.
func (k *Keeper) askAll(ctx context.Context) map[string]peerStatus {
	var mu sync.Mutex
	words := map[string]peerStatus{}
	var asked sync.WaitGroup
	for _, p := range k.others() {
		asked.Go(func() {
			var w peerStatus
			if k.call(ctx, p, askWithin, http.MethodGet, "/v1/peer", nil, &w) == nil {
				mu.Lock()
				words[p.ID] = w
				mu.Unlock()
			}
		})
	}
	asked.Wait()
	return words
}

// leaderStatus is what the leader says of itself once a majority has confirmed that it leads.
type leaderStatus struct {
	ID        string `json:"id"`
	LastIndex uint64 `json:"last_index"`
}

func (k *Keeper) leaderWord() (leaderStatus, error) {
	if !k.replicates() {
		return leaderStatus{}, raft.ErrNotLeader
	}
	if err := k.raft.VerifyLeader().Error(); err != nil {
		return leaderStatus{}, err
	}
	return leaderStatus{ID: k.o.ID, LastIndex: k.raft.LastIndex()}, nil
}

// caughtUp lets a keeper that lost its folder take part in elections again, once it holds all that the leader held at
// some moment after the loss: whatever it had said yes to is in that.
func (k *Keeper) caughtUp(ctx context.Context) {
	id, _ := k.leader()
	p, ok := k.o.peer(id)
	if !ok || time.Since(k.began) < quietBeats*k.o.Heartbeat {
		return
	}
	// What is asked now may be reached only later; the next round asks anew, and a quiet moment ends it.
	var w leaderStatus
	if err := k.call(ctx, p, askWithin, http.MethodGet, "/v1/leader", nil, &w); err != nil || w.ID != id {
		return
	}
	if k.raft.AppliedIndex() < w.LastIndex {
		if err := k.waitApplied(ctx, w.LastIndex); err != nil {
			return
		}
	}
	if err := k.reach(stageMember); err != nil {
		k.log.Error("the folder's stage can't be written", "error", err)
		return
	}
	k.muted.Store(false)
	k.log.Info("this keeper has caught up and votes again", "index", w.LastIndex)
}

func (k *Keeper) waitApplied(ctx context.Context, index uint64) error {
	for k.raft.AppliedIndex() < index {
		_, _, changed := k.machine.contentAt(nil)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(tick):
			return context.DeadlineExceeded
		}
	}
	return nil
}
