package flightsql

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Phases of an attempt's calls.
const (
	phaseUnsent    int32 = iota // nothing was written
	phaseSent                   // the first call may have been written
	phaseCancelled              // it was cancelled unsent, and is aborted as it begins
)

// callState tracks the calls of one attempt. It is safe for concurrent use.
type callState struct {
	cancel       context.CancelFunc
	onSent       func() // called once, when the first message has been written
	phase        atomic.Int32
	onSentCalled atomic.Bool // onSent was called
	retried      atomic.Bool // gRPC was about to repeat a call
}

// cancelUnsent cancels the attempt unless it has been sent; it reports whether it did.
func (s *callState) cancelUnsent() bool { return s.phase.CompareAndSwap(phaseUnsent, phaseCancelled) }

// sent reports whether something of the attempt may have been written.
func (s *callState) sent() bool { return s.phase.Load() == phaseSent }

// callBegins aborts a call that gRPC would repeat.
func (s *callState) callStarted(transparentRetry bool) {
	if transparentRetry && s.sent() {
		s.retried.Store(true)
		s.cancel()
	}
}

// headerWritten records that the attempt is being sent, or aborts it if it was cancelled.
func (s *callState) headerWritten() {
	if !s.phase.CompareAndSwap(phaseUnsent, phaseSent) && s.phase.Load() == phaseCancelled {
		s.cancel()
	}
}

// payloadWritten records that a message was written.
func (s *callState) payloadWritten() {
	if !s.onSentCalled.Swap(true) {
		s.onSent()
	}
}

// callStateKey is the context key of a callState.
type callStateKey struct{}

// callStats is the gRPC stats handler that updates callStates. With retries off, gRPC still repeats a call
// transparently that the engine's HTTP/2 layer claims not to have handled. That is no proof in the router's rules, so
// such a repeat is aborted before anything of it is written.
type callStats struct{}

// TagRPC implements stats.Handler.
func (callStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (callStats) HandleRPC(ctx context.Context, event stats.RPCStats) {
	state, ok := ctx.Value(callStateKey{}).(*callState)
	if !ok {
		return
	}
	switch event := event.(type) {
	case *stats.Begin:
		state.callStarted(event.IsTransparentRetryAttempt)
	case *stats.OutHeader:
		state.headerWritten()
	case *stats.OutPayload:
		state.payloadWritten()
	}
}

// TagConn implements stats.Handler.
func (callStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (callStats) HandleConn(context.Context, stats.ConnStats) {}
