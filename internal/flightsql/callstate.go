package flightsql

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Phases of the calls of an attempt.
const (
	phaseUnsent    int32 = iota // nothing of the attempt was written
	phaseSent                   // the first call may have been written
	phaseCancelled              // the attempt was cancelled before anything was written; a call that starts is aborted
)

// callState tracks the calls of one attempt. It is safe for concurrent use.
type callState struct {
	cancel       context.CancelFunc
	onSent       func() // called once, after the first message was written
	phase        atomic.Int32
	onSentCalled atomic.Bool // onSent was called
	retried      atomic.Bool // gRPC was about to retry a call, which was aborted
}

// cancelUnsent cancels the attempt if nothing of it was written, and reports whether it did.
func (s *callState) cancelUnsent() bool { return s.phase.CompareAndSwap(phaseUnsent, phaseCancelled) }

// sent reports whether a part of the attempt may have been written.
func (s *callState) sent() bool { return s.phase.Load() == phaseSent }

// callStarted aborts the attempt if gRPC transparently retries a call after a part of the attempt was sent.
func (s *callState) callStarted(transparentRetry bool) {
	if transparentRetry && s.sent() {
		s.retried.Store(true)
		s.cancel()
	}
}

// headerWritten records that the attempt is being sent, or aborts it if it was cancelled before.
func (s *callState) headerWritten() {
	if !s.phase.CompareAndSwap(phaseUnsent, phaseSent) && s.phase.Load() == phaseCancelled {
		s.cancel()
	}
}

// payloadWritten calls onSent when the first message was written.
func (s *callState) payloadWritten() {
	if !s.onSentCalled.Swap(true) {
		s.onSent()
	}
}

// callStateKey is the context key of the callState of a call.
type callStateKey struct{}

// callStats is the gRPC stats handler that updates the callState of each call. Even with retries disabled, gRPC
// transparently retries a call if the engine's HTTP/2 layer reports that it did not process the call. The router does
// not accept that report as proof, so callStats aborts such a retry before anything of it is written.
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
