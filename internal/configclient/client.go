// Package configclient is the router's side of the keepers: it asks one of them in a long poll what is new of the configuration by
// revision, has the router bring it in force, says with the next call what became of it, and keeps the last good revision on
// disk for a start at which no keeper answers. It runs in goroutines of its own; the router's loop waits for none of it.
// What to take and whom to ask is decided by package rollout.
package configclient

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

// Config is the section of the settings.
type Config struct {
	Addresses     []string `json:"addresses"` // of the keepers, as address:port
	Dir           string   `json:"dir"`       // of the copy
	MaxPollWaitMS int      `json:"hold_ms"`   // how long a keeper may keep a call open while nothing is new
}

const (
	// DefaultMaxPollWaitMS is a third of the keepers' usual lease.
	DefaultMaxPollWaitMS = 2000
	// answerWithin is how long past the hold a keeper has to answer, in all.
	answerWithin = 2 * time.Second
	// bringEvery bounds how often a call may bring a change, in a burst of them: reloads and their bytes stay within it. Two
	// are free, so that the word on a change that came alone goes back at once.
	bringEvery = 500 * time.Millisecond
	// earlyPause is waited after an answer that nothing is new which came without any wait.
	earlyPause = 200 * time.Millisecond
	// stopWithin bounds the wait for the goroutines at the end; a disk may hang.
	stopWithin = 200 * time.Millisecond
)

// ErrSuperseded says that the router has a later revision in force than the one that was to be: its other process gave it.
var ErrSuperseded = errors.New("a later revision is in force")

// ErrShuttingDown says that the router ends: nothing is said of the revision then.
var ErrShuttingDown = errors.New("the router ends")

// Revision is the content of a revision. The entries may not be written to.
type Revision struct {
	Revision uint64                     `json:"revision"`
	Hash     configlog.Hash             `json:"hash"`
	Entries  map[string]json.RawMessage `json:"entries"`
}

// Apply brings a revision in force, whole or not at all; an error is reported to the keepers, with the pointer of a *configerror.Error.
type Apply func(Revision) error

// Counters count what happened; the last two are figures that stand.
type Counters struct {
	Polls           atomic.Int64 `status:"polls"`
	Changes         atomic.Int64 `status:"changes"`
	Rejected        atomic.Int64 `status:"refused"`
	FailedCalls     atomic.Int64 `status:"lost"`
	UnusableAnswers atomic.Int64 `status:"unfit"`
	CopyWriteErrors atomic.Int64 `status:"disk_failed"`
	CopiesSetAside  atomic.Int64 `status:"set_aside"`

	Revision         atomic.Int64 `status:"revision"` // in force
	RejectedRevision atomic.Int64 `status:"barred"`   // the latest that was refused and is not overtaken; 0 for none
}

// Client follows the keepers.
type Client struct {
	Counters Counters

	log            *slog.Logger
	copies         *copyStore
	poller         *poller
	state          *configlog.Follower // of the goroutine that runs, and of the starter before
	apply          Apply
	began          time.Time
	lastCallFailed bool // the last call was

	mu               sync.Mutex // over what follows
	cfg              Config
	fromOtherProcess *Revision // by the other process of this router, not taken yet
	retryRejected    bool      // what was refused may fit now
	interruptPoll    func()    // ends the call that is open
	latest           Revision
	tokens           float64 // changes that may come now; of the goroutine that runs
	tokenAt          time.Time

	stop    context.CancelFunc
	stopped context.Context
	done    sync.WaitGroup
}

// New gives a client that does nothing yet. The name is the router's, the instance this process's; see rollout.Instance.
func New(cfg Config, name, instance string, log *slog.Logger) *Client {
	c := &Client{cfg: cfg, log: log, state: configlog.NewFollower(name, instance), began: time.Now(), tokens: 2, tokenAt: time.Now()}
	c.stopped, c.stop = context.WithCancel(context.Background())
	c.copies = newCopyStore(cfg.Dir, name, &c.Counters, log)
	c.poller = &poller{}
	return c
}

// Configure has other keepers asked from the next call on. The folder stays what it was.
func (c *Client) Configure(cfg Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg = cfg
	c.interrupt()
}

// Retry has what was refused offered again: the router's own file is another one.
func (c *Client) Retry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryRejected = true
	c.interrupt()
}

// SetInForce tells of a revision that is in force here already: the other process of this router had it.
func (c *Client) SetInForce(s Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fromOtherProcess = &s
	c.interrupt()
}

// interrupt ends the call that is open, so that the next one says what is new here. The lock is held.
func (c *Client) interrupt() {
	if c.interruptPoll != nil {
		c.interruptPoll()
	}
}

// Latest is the last revision that was in force, 0 where that is the router's own file alone.
func (c *Client) Latest() Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// Restore brings a revision in force at the start: the copy on the disk, and on top of it what a keeper that answers within
// the time has. Each keeper is asked once. It may hold the call for a part of the time: it says nothing to a process before
// the keepers have noted that there is one. Restore is called before Start.
func (c *Client) Restore(within time.Duration, apply Apply) {
	ctx, cancel := context.WithTimeout(c.stopped, within)
	defer cancel()
	c.apply = apply
	if s, ok := c.copies.read(); ok {
		if entries, ok, err := c.state.Restore(s); ok {
			c.activate(Revision{s.Revision, s.Hash, entries})
		} else if err != nil {
			c.copies.setAside(err)
		}
	}
	cfg := c.config()
	n := len(cfg.Addresses)
	hold := min(within*3/8, time.Duration(cfg.MaxPollWaitMS)*time.Millisecond)
	for i := range n {
		each, done := context.WithTimeout(ctx, within/time.Duration(min(n, 2)))
		u, fresh, err := c.poller.poll(each, cfg.Addresses[c.state.SelectKeeper(n)], c.state.Status(), int(hold.Milliseconds()))
		done()
		if err == nil && fresh {
			err = c.applyUpdate(u)
		}
		if err == nil {
			return
		}
		wait := c.state.CallFailed(c.now(), 0) // none before each was asked
		if i == n-1 || ctx.Err() != nil {
			break
		}
		pause(ctx, time.Duration(wait*1e6))
	}
	c.log.Warn("no keeper answered at the start", "revision", c.state.Status().Revision)
}

// Start follows the keepers from now on.
func (c *Client) Start(apply Apply) {
	c.apply = apply
	c.done.Add(2)
	go func() {
		defer c.done.Done()
		c.copies.run(c.stopped)
	}()
	go func() {
		defer c.done.Done()
		c.run()
	}()
}

// Stop ends the client. It waits for a disk that hangs for a moment only.
func (c *Client) Stop() {
	c.stop()
	ended := make(chan struct{})
	go func() {
		c.done.Wait()
		c.poller.close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopWithin):
	}
}

func (c *Client) config() Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg
}

func (c *Client) now() float64 { return float64(time.Since(c.began)) / 1e6 }

func (c *Client) run() {
	for c.stopped.Err() == nil {
		ctx, cancel := context.WithCancel(c.stopped)
		cfg, given, again := c.begin(cancel)
		if again {
			c.state.ClearRejections()
			c.Counters.RejectedRevision.Store(0)
		}
		if given != nil {
			u := configlog.Update{To: given.Revision, Snapshot: true, Put: given.Entries, Hash: given.Hash}
			if err := c.applyUpdate(u); err != nil && !errors.Is(err, configlog.ErrStale) {
				c.log.Warn("what the other process has can't be taken", "err", err)
			}
		}
		c.poll(ctx, cfg)
		cancel()
	}
}

// begin takes what others have left for the next call, which they may cut short from now on.
func (c *Client) begin(cut func()) (cfg Config, given *Revision, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interruptPoll = cut
	given, again, c.fromOtherProcess, c.retryRejected = c.fromOtherProcess, c.retryRejected, nil, false
	return c.cfg, given, again
}

// poll makes one call and takes what it brings, or waits after a loss.
func (c *Client) poll(ctx context.Context, cfg Config) {
	hold := time.Duration(cfg.MaxPollWaitMS) * time.Millisecond
	addr := cfg.Addresses[c.state.SelectKeeper(len(cfg.Addresses))]
	c.Counters.Polls.Add(1)
	at := time.Now()
	call, done := context.WithTimeout(ctx, hold+answerWithin)
	u, fresh, err := c.poller.poll(call, addr, c.state.Status(), cfg.MaxPollWaitMS)
	done()
	if ctx.Err() != nil {
		return // cut short from here: no loss of the keeper's
	}
	if err == nil && c.lastCallFailed {
		c.lastCallFailed = false
		c.log.Info("a keeper answers", "keeper", addr)
	}
	if err == nil && !fresh {
		c.state.Unchanged()
		if time.Since(at) < hold/2 {
			pause(ctx, time.Duration((0.5+rand.Float64())*float64(earlyPause)))
		}
		return
	}
	if err == nil {
		if err = c.applyUpdate(u); err == nil {
			c.waitForToken(ctx)
			return
		}
		c.Counters.UnusableAnswers.Add(1)
	}
	c.Counters.FailedCalls.Add(1)
	wait := c.state.CallFailed(c.now(), rand.Float64())
	level := slog.LevelDebug
	if !c.lastCallFailed { // the first is said; the next good answer is
		level = slog.LevelWarn
	}
	c.lastCallFailed = true
	c.log.Log(ctx, level, "keeper lost", "keeper", addr, "err", err, "wait_ms", int(wait))
	if theirs, ahead := c.state.KeepersAreBehind(); ahead {
		c.log.Log(ctx, level, "all keepers are behind this router, which keeps its revision", "revision", c.state.Status().Revision,
			"theirs", theirs)
	}
	pause(ctx, time.Duration(wait*1e6))
}

// waitForToken waits until another change may come.
func (c *Client) waitForToken(ctx context.Context) {
	now := time.Now()
	c.tokens = min(2, c.tokens+float64(now.Sub(c.tokenAt))/float64(bringEvery)) - 1
	c.tokenAt = now
	if c.tokens < 1 {
		pause(ctx, time.Duration((1-c.tokens)*float64(bringEvery)))
	}
}

// applyUpdate goes by a keeper's answer.
func (c *Client) applyUpdate(u configlog.Update) error {
	entries, ok, err := c.state.Offer(u)
	if ok {
		c.activate(Revision{u.To, u.Hash, entries})
	}
	return err
}

// activate brings the candidate in force, or refuses it.
func (c *Client) activate(s Revision) {
	err := c.apply(s)
	if err == nil {
		c.state.Accept()
		c.mu.Lock()
		c.latest = s
		c.mu.Unlock()
		c.Counters.Changes.Add(1)
		c.Counters.Revision.Store(int64(s.Revision))
		if uint64(c.Counters.RejectedRevision.Load()) <= s.Revision {
			c.Counters.RejectedRevision.Store(0)
		}
		c.copies.save(c.state.Saved())
		return
	}
	if errors.Is(err, ErrShuttingDown) {
		c.stop()
		return
	}
	r := configerror.From(err)
	c.state.Reject(r.Pointer, r.Reason)
	if errors.Is(err, ErrSuperseded) {
		return
	}
	c.Counters.Rejected.Add(1)
	c.Counters.RejectedRevision.Store(int64(s.Revision))
	c.log.Error("configuration refused; the one before stays in force", "revision", s.Revision, "pointer", r.Pointer, "err", r.Reason,
		"in_force", c.state.Status().Revision)
}

// pause waits, but not past the end of what it waits for.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
