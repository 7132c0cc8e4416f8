package keeper

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// smallBodyBytes is the part of each body that is read in any case. Followers' polls are far smaller.
	smallBodyBytes = 16 << 10
	// maxLargeBodies is the number of bodies above smallBodyBytes that are held at a time.
	maxLargeBodies = 8
	// largeBodyWait bounds the wait of a call for its turn.
	largeBodyWait = 5 * time.Second
)

var errManyLargeBodies = errors.New("too many large bodies at a time")

// bodyLimiter bounds the memory for the bodies of all calls. A body above smallBodyBytes waits for its turn before the
// rest of it is read.
type bodyLimiter struct{ large chan struct{} }

func newBodyLimiter() *bodyLimiter { return &bodyLimiter{make(chan struct{}, maxLargeBodies)} }

// wrap limits the body of a call. The returned function must be called at the end of the call.
func (l *bodyLimiter) wrap(r *http.Request) (release func()) {
	body := &limitedBody{ReadCloser: r.Body, call: r.Context(), limiter: l}
	r.Body = body
	return body.release
}

// limitedBody is the body of one call.
type limitedBody struct {
	io.ReadCloser
	call    context.Context
	limiter *bodyLimiter
	read    int
	large   bool // holds a place in limiter.large
}

// Read implements io.Reader.
func (b *limitedBody) Read(buffer []byte) (int, error) {
	if b.read >= smallBodyBytes && !b.large {
		if err := b.awaitTurn(); err != nil {
			return 0, err
		}
	}
	if !b.large {
		buffer = buffer[:min(len(buffer), smallBodyBytes-b.read)]
	}
	n, err := b.ReadCloser.Read(buffer)
	b.read += n
	return n, err
}

func (b *limitedBody) awaitTurn() error {
	timeout := time.NewTimer(largeBodyWait)
	defer timeout.Stop()
	select {
	case b.limiter.large <- struct{}{}:
		b.large = true
		return nil
	case <-timeout.C:
		return errManyLargeBodies
	case <-b.call.Done():
		return b.call.Err()
	}
}

func (b *limitedBody) release() {
	if b.large {
		b.large = false
		<-b.limiter.large
	}
}
