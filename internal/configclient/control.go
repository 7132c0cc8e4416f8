package configclient

import (
	"context"
	"sync"
)

// pollControl has the inputs from other goroutines to the polling goroutine. An input cancels the open call and takes
// effect with the next one. It also has the revision in force, for other goroutines to read.
type pollControl struct {
	mu                   sync.Mutex
	config               Config
	otherProcessRevision *Revision // in force in the other process of this router; nil once read
	retryRejected        bool
	cancelPoll           context.CancelFunc
	latestInForce        Revision
}

// pollInput is the input to one call.
type pollInput struct {
	config               Config
	otherProcessRevision *Revision
	retryRejected        bool
}

// set calls fn under the lock to change the control, and cancels the open call.
func (c *pollControl) set(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn()
	if c.cancelPoll != nil {
		c.cancelPoll()
	}
}

// beginPoll returns the input to the next call. From now on set calls cancel, which must cancel that call.
func (c *pollControl) beginPoll(cancel context.CancelFunc) pollInput {
	c.mu.Lock()
	defer c.mu.Unlock()
	input := pollInput{config: c.config, otherProcessRevision: c.otherProcessRevision, retryRejected: c.retryRejected}
	c.cancelPoll, c.otherProcessRevision, c.retryRejected = cancel, nil, false
	return input
}

func (c *pollControl) currentConfig() Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

func (c *pollControl) latest() Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latestInForce
}

func (c *pollControl) setLatest(revision Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latestInForce = revision
}
