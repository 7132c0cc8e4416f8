package flightsql

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/router"
)

const (
	// sharedIdleTimeout is how long a shared connection may be without a call before it is closed.
	sharedIdleTimeout = 10 * time.Second
	// maxMessage bounds one gRPC message of an engine, in bytes.
	maxMessage = 256 << 10
)

// Client is the client of engines that speak Flight SQL. It implements router.EngineClient: an attempt runs in a
// goroutine of its own, and its end is posted to the loop. gRPC's own retries are off, and an attempt that gRPC would
// repeat all the same is aborted by callStats. Its methods are called in the loop's goroutine.
type Client struct {
	loop           *router.Loop
	connectTimeout atomic.Int64 // a time.Duration; dials read it in goroutines of their own
	shared         map[dispatch.EngineID]*grpc.ClientConn
	attempts       map[*attempt]bool
	dedicatedSlots chan struct{} // contains one for each dedicated connection
	Counters       ClientCounters
}

// ClientCounters count the calls sent to engines.
type ClientCounters struct {
	Queries            atomic.Int64 `status:"queries"`
	Updates            atomic.Int64 `status:"updates"`
	TransparentRetries atomic.Int64 `status:"repeats"`
	BadResponses       atomic.Int64 `status:"bad_answers"`
}

// NewClient returns a client. Idempotent queries of an engine share a connection; statements that must not run twice
// each have a dedicated one, at most maxDedicated at once, and further ones wait unsent for a free slot.
func NewClient(loop *router.Loop, connectTimeoutMS float64, maxDedicated int) *Client {
	c := &Client{
		loop: loop, shared: map[dispatch.EngineID]*grpc.ClientConn{},
		attempts: map[*attempt]bool{}, dedicatedSlots: make(chan struct{}, maxDedicated),
	}
	c.Configure(connectTimeoutMS)
	return c
}

// Configure sets the timeout of later dials.
func (c *Client) Configure(connectTimeoutMS float64) {
	c.connectTimeout.Store(int64(clock.Duration(connectTimeoutMS)))
}

// Forget implements router.EngineClient.
func (c *Client) Forget(engine router.Engine) {
	if conn := c.shared[engine.ID]; conn != nil {
		delete(c.shared, engine.ID)
		go func() { _ = conn.Close() }() // the close waits for gRPC's own goroutines, and the loop must not
	}
}

// CancelUnstarted implements router.EngineClient.
func (c *Client) CancelUnstarted(engine router.Engine) {
	for a := range c.attempts {
		if a.engine == engine.ID && a.state.cancelUnsent() {
			a.cancel()
		}
	}
}

// Start implements router.EngineClient.
func (c *Client) Start(call router.Call, onEnd func(router.End)) router.Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(call.WaitMS))
	state := &callState{cancel: cancel, onSent: func() {
		if call.OnSent != nil {
			c.loop.Post(call.OnSent)
		}
	}}
	started := &attempt{engine: call.Engine.ID, state: state, cancel: cancel, onEnd: onEnd}
	c.attempts[started] = true
	ctx = context.WithValue(ctx, callStateKey{}, state)
	ctx = metadata.AppendToOutgoingContext(ctx, router.FieldID, call.ID, router.FieldClass, call.Class,
		router.FieldBudget, strconv.FormatFloat(call.WaitMS, 'f', 0, 64),
		metaGrant, strconv.FormatFloat(call.GrantMB, 'f', 0, 64), metaPriority, strconv.Itoa(call.Priority))
	var shared *grpc.ClientConn
	if !call.AtMostOnce {
		var err error
		if shared, err = c.sharedConn(call.Engine); err != nil {
			c.loop.Post(func() { c.finish(started, connectFailed(err)) })
			return started
		}
	}
	go func() { // the context's timeout ends it
		end := c.run(ctx, call, shared, state)
		c.loop.Post(func() { c.finish(started, end) })
	}()
	return started
}

// finish ends an attempt and reports the end unless the attempt was abandoned.
func (c *Client) finish(a *attempt, end router.End) {
	delete(c.attempts, a)
	a.finish(end)
}

// sharedConn returns the connection that an engine's idempotent queries share.
func (c *Client) sharedConn(engine router.Engine) (*grpc.ClientConn, error) {
	if conn := c.shared[engine.ID]; conn != nil {
		return conn, nil
	}
	conn, err := newClientConn(func(ctx context.Context, _ string) (net.Conn, error) {
		return c.dial(ctx, engine.Address)
	})
	if err == nil {
		c.shared[engine.ID] = conn
	}
	return conn, err
}

// dedicatedConn waits for a slot and dials a connection for one statement that must not run twice. It is dialed here:
// only so is a refused connection seen as such, and nothing can move the call to another connection. The caller calls
// release.
func (c *Client) dedicatedConn(ctx context.Context, address string) (conn *grpc.ClientConn, release func(), err error) {
	select {
	case c.dedicatedSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, &noSlotError{ctx.Err()}
	}
	freeSlot := func() { <-c.dedicatedSlots }
	netConn, err := c.dial(ctx, address)
	if err != nil {
		freeSlot()
		return nil, nil, err
	}
	conn, err = newClientConn(dialOnce(netConn))
	if err != nil {
		err = errors.Join(err, netConn.Close())
		freeSlot()
		return nil, nil, err
	}
	release = func() {
		_ = conn.Close()
		freeSlot()
	}
	return conn, release, nil
}

// noSlotError means that no dedicated connection was free within the attempt's time.
type noSlotError struct{ cause error }

func (e *noSlotError) Error() string { return "no connection was free: " + e.cause.Error() }

func (e *noSlotError) Unwrap() error { return e.cause }

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Duration(c.connectTimeout.Load())}
	return dialer.DialContext(ctx, "tcp", address)
}

// newClientConn returns a gRPC connection over what the dialer opens.
func newClientConn(dialer func(context.Context, string) (net.Conn, error)) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///engine", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialer), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithIdleTimeout(sharedIdleTimeout), grpc.WithStatsHandler(callStats{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
}

var errConnUsed = errors.New("the connection of this call was used already")

// dialOnce returns a dialer that returns the connection once, so that gRPC cannot move a call to another one.
func dialOnce(conn net.Conn) func(context.Context, string) (net.Conn, error) {
	var used atomic.Bool
	return func(context.Context, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errConnUsed
		}
		return conn, nil
	}
}
