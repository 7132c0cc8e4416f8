package configclient

import (
	"context"
	"time"
)

const (
	// changeInterval is the mean time between calls that return a change while changes are made in quick succession. It
	// limits the number of reloads and the bytes that they transfer.
	changeInterval = 500 * time.Millisecond
	// changeBurst is the number of changes that are not delayed, so that the status after a single change is reported
	// at once.
	changeBurst = 2
)

// changeLimiter limits the rate of changes with a token bucket.
type changeLimiter struct {
	tokens    float64
	updatedAt time.Time
}

func newChangeLimiter() changeLimiter {
	return changeLimiter{tokens: changeBurst, updatedAt: time.Now()}
}

// wait takes a token for a received change and waits until the next change may be received or ctx ends.
func (l *changeLimiter) wait(ctx context.Context) {
	now := time.Now()
	refill := float64(now.Sub(l.updatedAt)) / float64(changeInterval)
	l.tokens = min(changeBurst, l.tokens+refill) - 1
	l.updatedAt = now
	if l.tokens < 1 {
		sleep(ctx, time.Duration((1-l.tokens)*float64(changeInterval)))
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
