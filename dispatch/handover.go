package dispatch

import (
	"slices"
	"time"
)

// This file holds what two controllers that stand for one gateway tell each other, while one takes over from the other.
// It decides nothing: the one's figures join those that the other's decisions go by.

// Snapshot is what a controller knows of the fleet; times are on the clock that both share.
type Snapshot struct {
	Known    []EngineID       `json:"Known"` // that a list has named
	Excluded []EngineID       `json:"Excluded"`
	Engines  []EngineSnapshot `json:"Engines"`
	Classes  []ClassSnapshot  `json:"Classes"`
	Done     float64          `json:"Done"` // work finished on warm engines
	DoneAt   time.Duration    `json:"DoneAt"`
}

// EngineSnapshot is what a controller knows of an engine.
type EngineSnapshot struct {
	ID     EngineID      `json:"ID"`
	Born   time.Duration `json:"Born"`
	ColdAt time.Duration `json:"ColdAt"`
	WarmAt time.Duration `json:"WarmAt"`
	Slow   float64       `json:"Slow"`
	Fail   float64       `json:"Fail"`
	SlowAt time.Duration `json:"SlowAt"`
	FailAt time.Duration `json:"FailAt"`
	Lost   int           `json:"Lost"`
	Owed   bool          `json:"Owed"`
}

// ClassSnapshot is what a controller has learned of a class.
type ClassSnapshot struct {
	Name    string        `json:"Name"`
	Mean    float64       `json:"Mean"`
	Pace    float64       `json:"Pace"`
	Best    float64       `json:"Best"`
	EstMean float64       `json:"EstMean"`
	Fix     float64       `json:"Fix"`
	Seen    float64       `json:"Seen"`
	SeenAt  time.Duration `json:"SeenAt"`
}

// EngineUse is what a controller has running on an engine, and what it sent there within the window for cold ones.
type EngineUse struct {
	ID      EngineID `json:"ID"`
	Threads float64  `json:"Threads"`
	Prefer  float64  `json:"Prefer"`
	Work    float64  `json:"Work"`
	Granted float64  `json:"Granted"`
	Cold    float64  `json:"Cold"`
}

// Takeover has a controller go on from what another one knew.
type Takeover struct{ Snapshot Snapshot }

// PeerUse says what the other controller has running; it counts as this one's own.
type PeerUse struct {
	Engines []EngineUse `json:"Engines"`
	Held    int         `json:"Held"`
}

// Closing says that the controller's process ends at that time: no request has longer.
type Closing struct{ At time.Duration }

func (Takeover) event() {}
func (Closing) event()  {}
func (PeerUse) event()  {}

// Snapshot gives what the controller knows.
func (c *Controller) Snapshot() Snapshot {
	s := Snapshot{Known: slices.Clone(c.ids.order), Done: c.done, DoneAt: c.doneAt}
	for _, id := range c.ids.order {
		if c.ids.excluded[id] {
			s.Excluded = append(s.Excluded, id)
		}
	}
	for _, e := range c.engines {
		s.Engines = append(s.Engines, EngineSnapshot{ID: e.ID, Born: e.Born, ColdAt: e.coldAt, WarmAt: e.warmAt,
			Slow: e.slow, Fail: e.fail, SlowAt: e.slowAt, FailAt: e.failAt, Lost: e.lost, Owed: e.owed})
	}
	for _, k := range c.classes {
		s.Classes = append(s.Classes, ClassSnapshot{Name: k.Name, Mean: k.mean, Pace: k.pace, Best: k.best,
			EstMean: k.estMean, Fix: k.grantFix, Seen: k.seen, SeenAt: k.seenAt})
	}
	return s
}

// takeOver goes on from a snapshot. What makes no sense is left out: it comes from another version of the program.
func (c *Controller) takeOver(s Snapshot) {
	for _, id := range s.Known {
		c.ids.named(id)
	}
	for _, id := range s.Excluded {
		c.exclude(id, true)
	}
	for _, old := range s.Engines {
		e := c.byID[old.ID]
		if e == nil {
			continue
		}
		if old.WarmAt > e.warmAt || old.WarmAt > c.now {
			c.chill(e, min(old.ColdAt, c.now))
			e.warmAt = max(old.WarmAt, e.warmAt)
		}
		if old.Slow > 0 && old.Fail >= 0 && old.Fail <= 1 && old.Lost >= 0 {
			e.slow, e.slowAt, e.failAt, e.lost, e.owed = old.Slow, old.SlowAt, old.FailAt, old.Lost, old.Owed
			e.fail = old.Fail
			c.tally.failingUntil = 0
			c.noteFailed(e)
		}
	}
	for _, old := range s.Classes {
		for _, k := range c.classes {
			sound := old.Seen > 0 && old.Mean > 0 && old.Pace > 0 && old.Best > 0 && old.EstMean > 0 && old.Fix > 0
			if k.Name == old.Name && sound {
				k.mean, k.pace, k.best, k.estMean, k.grantFix = old.Mean, old.Pace, old.Best, old.EstMean, old.Fix
				k.seen, k.seenAt = old.Seen, old.SeenAt
			}
		}
	}
	if s.Done >= 0 && s.DoneAt <= c.now {
		c.done, c.doneAt = s.Done, s.DoneAt
	}
}

// closing has open requests end by then; what would end later is not begun any more.
func (c *Controller) closing(at time.Duration) {
	for _, r := range c.open {
		r.end, r.aim = min(r.end, at), min(r.aim, at)
	}
	c.due = c.now
}

// Use gives what the controller itself has on each engine, and holds.
func (c *Controller) Use(now time.Duration) PeerUse {
	c.now = max(c.now, now)
	use := PeerUse{Held: c.held}
	for _, e := range c.engines {
		u := EngineUse{ID: e.ID, Threads: e.threads - e.peer.Threads, Prefer: e.prefer - e.peer.Prefer,
			Work: e.work - e.peer.Work, Granted: e.granted - e.peer.Granted}
		for _, s := range e.spent {
			if s.at >= c.now-c.cfg.OverloadFor {
				u.Cold += s.work
			}
		}
		if u != (EngineUse{ID: e.ID}) {
			use.Engines = append(use.Engines, u)
		}
	}
	return use
}

// peerUse takes over what the other controller has running in place of what it had.
func (c *Controller) peerUse(ev PeerUse) {
	c.peerHeld = max(ev.Held, 0)
	c.derive()
	now := map[EngineID]EngineUse{}
	for _, u := range ev.Engines {
		now[u.ID] = EngineUse{ID: u.ID, Threads: max(u.Threads, 0), Prefer: max(u.Prefer, 0), Work: max(u.Work, 0),
			Granted: max(u.Granted, 0), Cold: max(u.Cold, 0)}
	}
	for _, e := range c.engines {
		c.setPeer(e, now[e.ID])
	}
	c.release()
}

func (c *Controller) setPeer(e *engine, u EngineUse) {
	old := e.peer
	defer c.moved(e, e.threads, e.granted)
	e.peer = u
	e.threads, e.prefer = e.threads+u.Threads-old.Threads, e.prefer+u.Prefer-old.Prefer
	e.work, e.granted = max(e.work+u.Work-old.Work, 0), max(e.granted+u.Granted-old.Granted, 0)
	c.threads, c.granted = c.threads+u.Threads-old.Threads, max(c.granted+u.Granted-old.Granted, 0)
}
