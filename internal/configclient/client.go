package configclient

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

const (
	// answerTimeout is the time that a keeper has for its answer in addition to the requested wait. It doubles, up to
	// maxAnswerTimeout, whenever no keeper has answered in time: their answers may only be late.
	answerTimeout    = 2 * time.Second
	maxAnswerTimeout = 16 * time.Second
	// earlyAnswerDelay is the mean wait before the next poll if the keeper has answered without a newer revision after
	// less than half of the requested wait.
	earlyAnswerDelay = 200 * time.Millisecond
	// stopTimeout bounds the time that Stop waits for the goroutines: an access to the disk may hang.
	stopTimeout = 200 * time.Millisecond
)

// Client polls the keepers for newer revisions of the configuration and has the router apply them.
type Client struct {
	Counters Counters

	log       *slog.Logger
	startedAt time.Time
	copies    *copyStore
	control   pollControl

	// The fields below are used by Restore and, after Start, by the polling goroutine only.
	keeper         keeperConn
	follower       *configlog.Follower
	apply          Apply
	limiter        changeLimiter
	lastCallFailed bool
	timeoutsInRow  int // calls without an answer in time since the last answer that was not late

	stopped    context.Context // canceled by stop
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a client that makes no call until Restore or Start. The name is that of the router, and the instance
// identifies this process; see configlog.NewInstanceID.
func New(config Config, name, instance string, log *slog.Logger) *Client {
	client := &Client{
		log:       log,
		startedAt: time.Now(),
		control:   pollControl{config: config},
		follower:  configlog.NewFollower(name, instance),
		limiter:   newChangeLimiter(),
	}
	client.copies = newCopyStore(config.Dir, name, &client.Counters, log)
	client.stopped, client.stop = context.WithCancel(context.Background())
	return client
}

// Configure replaces the addresses and the maximum wait of a poll, and makes the next call at once. The directory stays
// the same.
func (c *Client) Configure(config Config) {
	c.control.set(func() { c.control.config = config })
}

// RetryRejected has the keepers offer rejected revisions again. It is called when the router's own file has changed.
func (c *Client) RetryRejected() {
	c.control.set(func() { c.control.retryRejected = true })
}

// SetInForce takes over a revision that the other process of this router has supplied and that is already in force
// here.
func (c *Client) SetInForce(revision Revision) {
	c.control.set(func() { c.control.otherProcessRevision = &revision })
}

// Latest returns the last revision that came into force. Its number is 0 if that is the router's own file alone.
func (c *Client) Latest() Revision { return c.control.latest() }

// Restore puts a revision in force at startup: first the copy on disk, then the newest revision of a keeper that
// answers within the timeout. It polls each keeper at most once. A keeper may keep the call open for a part of the
// timeout, because it sends nothing to a process that the keepers have not recorded yet. Restore must be called before
// Start.
func (c *Client) Restore(timeout time.Duration, apply Apply) {
	ctx, cancel := context.WithTimeout(c.stopped, timeout)
	defer cancel()
	c.apply = apply
	c.restoreCopy()
	config := c.control.currentConfig()
	keepers := len(config.Addresses)
	wait := min(timeout*3/8, time.Duration(config.MaxPollWaitMS)*time.Millisecond)
	for attempt := range keepers {
		callCtx, cancelCall := context.WithTimeout(ctx, timeout/time.Duration(min(keepers, 2)))
		address := config.Addresses[c.follower.SelectKeeper(keepers)]
		update, isNewer, err := c.keeper.poll(callCtx, address, c.follower.Status(), int(wait.Milliseconds()))
		cancelCall()
		if err == nil && isNewer {
			err = c.applyUpdate(update)
		}
		if err == nil {
			return
		}
		backoffMS := c.follower.CallFailed(c.nowMS(), 0) // 0 until each keeper was polled
		if attempt == keepers-1 || ctx.Err() != nil {
			break
		}
		sleep(ctx, milliseconds(backoffMS))
	}
	c.log.Warn("no keeper reachable at startup", "revision", c.follower.Status().Revision)
}

// restoreCopy puts the copy on disk in force, and sets it aside if the follower cannot use it.
func (c *Client) restoreCopy() {
	saved, found := c.copies.loadOrSetAside()
	if !found {
		return
	}
	entries, ok, err := c.follower.Restore(saved)
	if ok {
		c.activate(Revision{saved.Revision, saved.Hash, entries})
	} else if err != nil {
		c.copies.setAside(err)
	}
}

// Start polls the keepers in the background until Stop.
func (c *Client) Start(apply Apply) {
	c.apply = apply
	c.goroutines.Go(func() { c.copies.run(c.stopped) })
	c.goroutines.Go(c.run)
}

// Stop ends the client. It waits at most stopTimeout for its goroutines; if an access to the disk hangs, they end after
// Stop has returned.
func (c *Client) Stop() {
	c.stop()
	ended := make(chan struct{})
	go func() {
		c.goroutines.Wait()
		c.keeper.close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopTimeout):
	}
}

// nowMS returns the time since the creation of the client in milliseconds, as the clock of configlog.Follower.
func (c *Client) nowMS() float64 { return float64(time.Since(c.startedAt)) / float64(time.Millisecond) }

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}

// run polls until the client is stopped.
func (c *Client) run() {
	for c.stopped.Err() == nil {
		ctx, cancel := context.WithCancel(c.stopped)
		input := c.control.beginPoll(cancel)
		if input.retryRejected {
			c.follower.ClearRejections()
			c.Counters.RejectedRevision.Store(0)
		}
		if input.otherProcessRevision != nil {
			c.adopt(*input.otherProcessRevision)
		}
		c.poll(ctx, input.config)
		cancel()
	}
}

// adopt takes over a revision of the other process unless a later one is in force.
func (c *Client) adopt(revision Revision) {
	update := configlog.Update{To: revision.Revision, Snapshot: true, Put: revision.Entries, Hash: revision.Hash}
	if err := c.applyUpdate(update); err != nil && !errors.Is(err, configlog.ErrStale) {
		c.log.Warn("revision of the other process unusable", "error", err)
	}
}

// poll makes one call and applies the answer, or waits for the backoff time after a failure.
func (c *Client) poll(ctx context.Context, config Config) {
	wait := time.Duration(config.MaxPollWaitMS) * time.Millisecond
	address := config.Addresses[c.follower.SelectKeeper(len(config.Addresses))]
	c.Counters.Polls.Add(1)
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+c.answerTimeout(len(config.Addresses)))
	update, isNewer, err := c.keeper.poll(callCtx, address, c.follower.Status(), config.MaxPollWaitMS)
	if callCtx.Err() != nil {
		c.timeoutsInRow++
	}
	cancel()
	if ctx.Err() != nil {
		return // cancelled by this process, which is not a failure of the keeper
	}
	if err != nil {
		c.callFailed(ctx, address, err)
		return
	}
	if time.Since(sentAt) < wait+answerTimeout {
		c.timeoutsInRow = 0
	}
	if c.lastCallFailed {
		c.lastCallFailed = false
		c.log.Info("keeper reachable", "keeper", address)
	}
	if !isNewer {
		c.follower.CallSucceeded()
		if time.Since(sentAt) < wait/2 {
			sleep(ctx, time.Duration((0.5+rand.Float64())*float64(earlyAnswerDelay)))
		}
		return
	}
	if err := c.applyUpdate(update); err != nil {
		c.Counters.UnusableAnswers.Add(1)
		c.callFailed(ctx, address, err)
		return
	}
	c.limiter.wait(ctx)
}

// answerTimeout returns the time that one of the keepers has for its answer in addition to the requested wait.
func (c *Client) answerTimeout(keepers int) time.Duration {
	timeout := answerTimeout
	for timeouts := c.timeoutsInRow; timeouts >= keepers && timeout < maxAnswerTimeout; timeouts -= keepers {
		timeout *= 2
	}
	return timeout
}

// callFailed counts and logs a failed call and waits for the backoff time. The first failure in a row is logged as a
// warning, the following ones at level Debug.
func (c *Client) callFailed(ctx context.Context, address string, err error) {
	c.Counters.FailedCalls.Add(1)
	backoffMS := c.follower.CallFailed(c.nowMS(), rand.Float64())
	level := slog.LevelDebug
	if !c.lastCallFailed {
		level = slog.LevelWarn
	}
	c.lastCallFailed = true
	c.log.Log(ctx, level, "keeper call failed", "keeper", address, "error", err, "wait_ms", int(backoffMS))
	if keepersAt, behind := c.follower.KeepersAreBehind(); behind {
		c.log.Log(ctx, level, "all keepers behind this router",
			"revision", c.follower.Status().Revision, "keepers_revision", keepersAt)
	}
	sleep(ctx, milliseconds(backoffMS))
}

// applyUpdate applies an update. It returns an error if the follower does not accept the update.
func (c *Client) applyUpdate(update configlog.Update) error {
	entries, ok, err := c.follower.Offer(update)
	if ok {
		c.activate(Revision{update.To, update.Hash, entries})
	}
	return err
}

// activate has the router apply the revision that the follower has accepted, and records the outcome.
func (c *Client) activate(revision Revision) {
	err := c.apply(revision)
	switch {
	case err == nil:
		c.recordActivation(revision)
	case errors.Is(err, ErrShuttingDown):
		c.stop()
	default:
		c.reject(revision.Revision, err)
	}
}

// recordActivation records that a revision is in force, and saves a copy of it.
func (c *Client) recordActivation(revision Revision) {
	c.follower.Accept()
	c.control.setLatest(revision)
	c.Counters.Changes.Add(1)
	c.Counters.Revision.Store(int64(revision.Revision))
	if uint64(c.Counters.RejectedRevision.Load()) <= revision.Revision {
		c.Counters.RejectedRevision.Store(0)
	}
	c.copies.save(c.follower.Saved())
}

// reject records that the router has rejected a revision, for the report with the next call. A revision that was
// superseded is neither counted nor logged.
func (c *Client) reject(revision uint64, err error) {
	rejection := configerror.From(err)
	c.follower.Reject(rejection.Pointer, rejection.Reason)
	if errors.Is(err, ErrSuperseded) {
		return
	}
	c.Counters.Rejected.Add(1)
	c.Counters.RejectedRevision.Store(int64(revision))
	c.log.Error("configuration rejected", "revision", revision, "pointer", rejection.Pointer, "error", rejection.Reason,
		"in_force", c.follower.Status().Revision)
}
