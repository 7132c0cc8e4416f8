package flightsql

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
	"google.golang.org/protobuf/proto"
)

const (
	// maxHeaderFields bounds the header fields of a call. A short one takes far more memory than bytes on the wire.
	maxHeaderFields = 100
	// headerFieldBytes is the memory that a header field takes besides its text, in bytes.
	headerFieldBytes = 256
	// messageTimeout bounds the time from the headers of a call to the end of its message.
	messageTimeout = 2 * time.Second
	// answerTimeout bounds the time that a client may take to read the answer to a call.
	answerTimeout = 10 * time.Second
	// defaultCallBytes is the limit of a callLimiter until setLimit.
	defaultCallBytes = 16 << 20
)

// callLimiter bounds the memory for the calls of all connections: it counts the headers of each open call, and its
// message, with the longest possible length until it has arrived. Calls beyond the limit are refused. It is safe for
// concurrent use.
type callLimiter struct {
	counters *Counters

	mu    sync.Mutex
	limit int
	used  int
}

// setLimit sets the limit in bytes. Open calls above a new limit go on.
func (l *callLimiter) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

func (l *callLimiter) reserve(size int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used+size > l.limit {
		return false
	}
	l.used += size
	return true
}

func (l *callLimiter) release(size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= size
}

// admit is the tap handle of the servers: it is called with the headers of each call, before anything else of it is
// handled.
func (l *callLimiter) admit(ctx context.Context, info *tap.Info) (context.Context, error) {
	fields, headerBytes := headerSize(info.Header)
	if fields > maxHeaderFields {
		return nil, malformedError(l.counters,
			fmt.Sprintf("the call has %d header fields, at most %d are allowed", fields, maxHeaderFields))
	}
	size := headerBytes + maxCall
	if !l.reserve(size) {
		l.counters.Rejected.Add(1)
		return nil, status.Error(codes.ResourceExhausted,
			"refused, nothing was done; the calls of this router together are too large")
	}
	return newCall(ctx, l, size), nil
}

// headerSize returns the number of header fields and the memory for them in bytes.
func headerSize(header metadata.MD) (fields, size int) {
	for name, values := range header {
		for _, value := range values {
			fields++
			size += len(name) + len(value) + headerFieldBytes
		}
	}
	return fields, size
}

// call is the context of an open call, with its part of the limits and the time limit of its present phase.
type call struct {
	context.Context
	cancel  context.CancelFunc
	limiter *callLimiter
	timer   *time.Timer
	expired atomic.Bool

	mu       sync.Mutex
	reserved int // bytes of the limiter
	received bool
}

// callKey is the context key under which a call finds itself.
type callKey struct{}

func newCall(parent context.Context, limiter *callLimiter, reserved int) *call {
	ctx, cancel := context.WithCancel(parent)
	c := &call{Context: ctx, cancel: cancel, limiter: limiter, reserved: reserved}
	c.timer = time.AfterFunc(messageTimeout, c.expire)
	context.AfterFunc(ctx, c.end)
	return c
}

// Value implements context.Context.
func (c *call) Value(key any) any {
	if key == (callKey{}) {
		return c
	}
	return c.Context.Value(key)
}

// Err implements context.Context. It tells gRPC that the call ran into a time limit.
func (c *call) Err() error {
	if c.expired.Load() {
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}

// expire ends the call because its client took too long.
func (c *call) expire() {
	c.limiter.counters.Expired.Add(1)
	c.expired.Store(true)
	c.cancel()
}

// end releases what the call holds.
func (c *call) end() {
	c.timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.release(c.reserved)
	c.reserved = 0
}

// callOf returns the call of a context, or nil if there is none.
func callOf(ctx context.Context) *call {
	c, _ := ctx.Value(callKey{}).(*call)
	return c
}

// messageArrived replaces the reservation for the longest message by one for the message that has arrived.
func (c *call) messageArrived(message any) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received || c.reserved == 0 {
		return
	}
	c.received = true
	c.timer.Reset(answerTimeout)
	if message, ok := message.(proto.Message); ok {
		surplus := maxCall - min(proto.Size(message), maxCall)
		c.reserved -= surplus
		c.limiter.release(surplus)
	}
}

// requestOpened suspends the time limit while a request is open, whose own deadline applies.
func (c *call) requestOpened() {
	if c != nil {
		c.timer.Stop()
	}
}

// requestAnswered starts the time that the client has to read the answer: the rest of the request's time, or
// answerTimeout if that is longer.
func (c *call) requestAnswered(rest time.Duration) {
	if c != nil {
		c.timer.Reset(max(rest, answerTimeout))
	}
}

// callStream tells its call when the first message has arrived.
type callStream struct{ grpc.ServerStream }

// RecvMsg implements grpc.ServerStream.
func (s callStream) RecvMsg(message any) error {
	err := s.ServerStream.RecvMsg(message)
	if err == nil {
		callOf(s.Context()).messageArrived(message)
	}
	return err
}
