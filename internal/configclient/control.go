package configclient

import (
	"context"
	"sync"
)

// pollControl has the inputs of other goroutines for the polling one. They take effect with the next call; the open
// one is cancelled for it.
type pollControl struct {
	mu                   sync.Mutex
	config               Config
	otherProcessRevision *Revision // in force at the other process of this router; nil once it was read
	retryRejected        bool
	cancelPoll           context.CancelFunc
	latestInForce        Revision
}

// pollInput is what pollControl has for one call.
type pollInput struct {
	config               Config
	otherProcessRevision *Revision
	retryRejected        bool
}

// set changes the control with fn, and cancels the open call.
func (c *pollControl) set(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn()
	if c.cancelPoll != nil {
		c.cancelPoll()
	}
}

// beginPoll reads the input for the next call, which set cancels with cancel from now on.
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
