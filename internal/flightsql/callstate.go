package flightsql

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// watch follows the calls of one attempt.
type watch struct {
	cancel   context.CancelFunc
	wrote    func() // the first message has been written
	state    atomic.Int32
	told     atomic.Bool
	repeated atomic.Bool
}

// States of a watch. What an operator withholds while nothing of it has been written is cut off as it begins.
const (
	unwritten = iota
	written
	withheld
)

func (w *watch) withhold() bool { return w.state.CompareAndSwap(unwritten, withheld) }

func (w *watch) written() bool { return w.state.Load() == written }

type watchKey struct{}

// watcher is the stats handler that feeds watches. With retries off, gRPC still repeats a call transparently
// that the engine's HTTP/2 layer claims not to have handled. That is no proof in our rules, so such a repeat
// is cut off before anything of it is written.
type watcher struct{}

func (watcher) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (watcher) HandleRPC(ctx context.Context, s stats.RPCStats) {
	w, ok := ctx.Value(watchKey{}).(*watch)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		if s.IsTransparentRetryAttempt && w.written() {
			w.repeated.Store(true)
			w.cancel()
		}
	case *stats.OutHeader:
		if !w.state.CompareAndSwap(unwritten, written) && w.state.Load() == withheld {
			w.cancel()
		}
	case *stats.OutPayload:
		if !w.told.Swap(true) {
			w.wrote()
		}
	}
}

func (watcher) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (watcher) HandleConn(context.Context, stats.ConnStats) {}
