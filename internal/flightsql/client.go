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
	// sharedIdleTimeout is how long a shared connection may have no calls before it is closed.
	sharedIdleTimeout = 10 * time.Second
	// maxMessage bounds a gRPC message from an engine, in bytes.
	maxMessage = 256 << 10
	// engineConnWindow is the HTTP/2 flow-control window in bytes for all calls of a connection to an engine.
	engineConnWindow = 1 << 20
)

// Client is the client of engines that speak Flight SQL. It implements router.EngineClient. Each attempt runs in a
// goroutine of its own and posts its end to the loop. gRPC's retries are disabled, and callStats aborts attempts that
// gRPC would retry transparently. The methods of a Client must be called in the loop's goroutine.
type Client struct {
	loop           *router.Loop
	connectTimeout atomic.Int64 // a time.Duration; atomic, because dials read it in other goroutines
	shared         map[dispatch.EngineID]*grpc.ClientConn
	attempts       map[*attempt]bool // those whose goroutine has not ended
	dedicatedSlots chan struct{}     // has one element for each dedicated connection
	results        *resultLimits
	Counters       ClientCounters
}

// ClientCounters count the attempts at engines, and the transparent retries and invalid responses that ended some.
type ClientCounters struct {
	Queries            atomic.Int64 `status:"queries"`
	Updates            atomic.Int64 `status:"updates"`
	TransparentRetries atomic.Int64 `status:"repeats"`
	BadResponses       atomic.Int64 `status:"bad_answers"`
}

// NewClient returns a client. Idempotent calls to an engine share one connection. An at-most-once call gets a dedicated
// connection; there are at most maxDedicated of these at a time, and further calls wait unsent for one. Large results
// together take at most maxResultBytes.
func NewClient(loop *router.Loop, connectTimeoutMS float64, maxDedicated, maxResultBytes int) (*Client, error) {
	results, err := newResultLimits(maxResultBytes)
	if err != nil {
		return nil, err
	}
	c := &Client{
		loop: loop, shared: map[dispatch.EngineID]*grpc.ClientConn{},
		attempts: map[*attempt]bool{}, dedicatedSlots: make(chan struct{}, maxDedicated), results: results,
	}
	c.Configure(connectTimeoutMS)
	return c, nil
}

// Configure sets the connect timeout of later dials.
func (c *Client) Configure(connectTimeoutMS float64) {
	c.connectTimeout.Store(int64(clock.Duration(connectTimeoutMS)))
}

// Forget implements router.EngineClient. It closes the shared connection to the engine.
func (c *Client) Forget(engine router.Engine) {
	if conn := c.shared[engine.ID]; conn != nil {
		delete(c.shared, engine.ID)
		go func() { _ = conn.Close() }() // Close waits for goroutines of gRPC, which would block the loop
	}
}

// CancelUnstarted implements router.EngineClient. Attempts of which nothing was written end as ConnectFailed.
func (c *Client) CancelUnstarted(engine router.Engine) {
	for a := range c.attempts {
		if a.engine == engine.ID && a.state.cancelUnsent() {
			a.cancel()
		}
	}
}

// Start implements router.EngineClient. The attempt ends at the latest after the call's WaitMS.
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
	go func() { // ends at the latest with the context's timeout
		end := c.run(ctx, call, shared, state)
		c.loop.Post(func() { c.finish(started, end) })
	}()
	return started
}

// finish removes an attempt and reports its end, unless the attempt was abandoned.
func (c *Client) finish(a *attempt, end router.End) {
	delete(c.attempts, a)
	a.finish(end)
}

// sharedConn returns the connection for the idempotent calls to an engine, and creates it if necessary.
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

// dedicatedConn waits for a slot and dials a connection for one at-most-once call. It dials itself, rather than gRPC,
// so that a refused connection is recognized and the call cannot move to another connection. The caller must call
// release unless there is an error.
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

// noSlotError reports that no slot for a dedicated connection became free before the attempt's timeout.
type noSlotError struct{ cause error }

func (e *noSlotError) Error() string {
	return "no dedicated connection became free: " + e.cause.Error()
}

func (e *noSlotError) Unwrap() error { return e.cause }

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Duration(c.connectTimeout.Load())}
	return dialer.DialContext(ctx, "tcp", address)
}

// newClientConn returns a gRPC connection that connects with the dialer.
func newClientConn(dialer func(context.Context, string) (net.Conn, error)) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///engine", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialer), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithIdleTimeout(sharedIdleTimeout), grpc.WithStatsHandler(callStats{}),
		grpc.WithInitialWindowSize(flowControlWindow), grpc.WithInitialConnWindowSize(engineConnWindow),
		grpc.WithMaxHeaderListSize(maxHeaderList),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.ForceCodecV2(newBoundedCodec())))
}

var errConnUsed = errors.New("the dedicated connection was already used for a call")

// dialOnce returns a dialer that returns conn once and then fails, so that gRPC cannot move a call to another
// connection.
func dialOnce(conn net.Conn) func(context.Context, string) (net.Conn, error) {
	var used atomic.Bool
	return func(context.Context, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errConnUsed
		}
		return conn, nil
	}
}
