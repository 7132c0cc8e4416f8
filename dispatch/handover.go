package dispatch

import (
	"slices"
	"time"
)

// This file holds what two controllers that stand for one gateway tell each other, while one takes over from the other.
// It decides nothing: the one's figures join those that the other's decisions go by.

// Snapshot is what a controller knows of the fleet; times are on the clock that both share.
type Snapshot struct {
	Known           []EngineID       `json:"Known"` // that a list has named
	Cordoned        []EngineID       `json:"Excluded"`
	Engines         []EngineSnapshot `json:"Engines"`
	Classes         []ClassSnapshot  `json:"Classes"`
	CompletedWork   float64          `json:"Done"` // work finished on warm engines
	CompletedWorkAt time.Duration    `json:"DoneAt"`
}

// EngineSnapshot is what a controller knows of an engine.
type EngineSnapshot struct {
	ID                 EngineID      `json:"ID"`
	StartedAt          time.Duration `json:"Born"`
	WarmUpStart        time.Duration `json:"ColdAt"`
	WarmUpEnd          time.Duration `json:"WarmAt"`
	Slowness           float64       `json:"Slow"`
	FailureShare       float64       `json:"Fail"`
	SlownessAt         time.Duration `json:"SlowAt"`
	FailureShareAt     time.Duration `json:"FailAt"`
	ConnectionFailures int           `json:"Lost"`
	OnProbation        bool          `json:"Owed"`
}

// ClassSnapshot is what a controller has learned of a class.
type ClassSnapshot struct {
	Name               string        `json:"Name"`
	MeanServiceTime    float64       `json:"Mean"`
	BoundedServiceTime float64       `json:"Pace"`
	BestServiceTime    float64       `json:"Best"`
	MeanEstimate       float64       `json:"EstMean"`
	GrantCorrection    float64       `json:"Fix"`
	Observations       float64       `json:"Seen"`
	ObservedAt         time.Duration `json:"SeenAt"`
}

// EngineUsage is what a controller has running on an engine, and what it sent there within the window for cold ones.
type EngineUsage struct {
	ID               EngineID `json:"ID"`
	Threads          float64  `json:"Threads"`
	PreferredThreads float64  `json:"Prefer"`
	Work             float64  `json:"Work"`
	GrantedMB        float64  `json:"Granted"`
	WarmUpWork       float64  `json:"Cold"`
}

// RestoreSnapshot has a controller go on from what another one knew.
type RestoreSnapshot struct{ Snapshot Snapshot }

// OtherProcessUsage says what the other controller has running; it counts as this one's own.
type OtherProcessUsage struct {
	Engines []EngineUsage `json:"Engines"`
	Queued  int           `json:"Held"`
}

// ShutdownDeadline says that the controller's process ends at that time: no request has longer.
type ShutdownDeadline struct{ At time.Duration }

func (RestoreSnapshot) event()   {}
func (ShutdownDeadline) event()  {}
func (OtherProcessUsage) event() {}

// Snapshot gives what the controller knows.
func (c *Controller) Snapshot() Snapshot {
	s := Snapshot{Known: slices.Clone(c.ids.order), CompletedWork: c.done, CompletedWorkAt: c.doneAt}
	for _, id := range c.ids.order {
		if c.ids.excluded[id] {
			s.Cordoned = append(s.Cordoned, id)
		}
	}
	for _, e := range c.engines {
		s.Engines = append(s.Engines, EngineSnapshot{ID: e.ID, StartedAt: e.StartedAt, WarmUpStart: e.coldAt, WarmUpEnd: e.warmAt,
			Slowness: e.slow, FailureShare: e.fail, SlownessAt: e.slowAt, FailureShareAt: e.failAt, ConnectionFailures: e.lost, OnProbation: e.owed})
	}
	for _, k := range c.classes {
		s.Classes = append(s.Classes, ClassSnapshot{Name: k.Name, MeanServiceTime: k.mean, BoundedServiceTime: k.pace, BestServiceTime: k.best,
			MeanEstimate: k.estMean, GrantCorrection: k.grantFix, Observations: k.seen, ObservedAt: k.seenAt})
	}
	return s
}

// takeOver goes on from a snapshot. What makes no sense is left out: it comes from another version of the program.
func (c *Controller) takeOver(s Snapshot) {
	for _, id := range s.Known {
		c.ids.named(id)
	}
	for _, id := range s.Cordoned {
		c.exclude(id, true)
	}
	for _, old := range s.Engines {
		e := c.byID[old.ID]
		if e == nil {
			continue
		}
		if old.WarmUpEnd > e.warmAt || old.WarmUpEnd > c.now {
			c.chill(e, min(old.WarmUpStart, c.now))
			e.warmAt = max(old.WarmUpEnd, e.warmAt)
		}
		if old.Slowness > 0 && old.FailureShare >= 0 && old.FailureShare <= 1 && old.ConnectionFailures >= 0 {
			e.slow, e.slowAt, e.failAt, e.lost, e.owed = old.Slowness, old.SlownessAt, old.FailureShareAt, old.ConnectionFailures, old.OnProbation
			e.fail = old.FailureShare
			c.tally.failingUntil = 0
			c.noteFailed(e)
		}
	}
	for _, old := range s.Classes {
		for _, k := range c.classes {
			sound := old.Observations > 0 && old.MeanServiceTime > 0 && old.BoundedServiceTime > 0 && old.BestServiceTime > 0 && old.MeanEstimate > 0 && old.GrantCorrection > 0
			if k.Name == old.Name && sound {
				k.mean, k.pace, k.best, k.estMean, k.grantFix = old.MeanServiceTime, old.BoundedServiceTime, old.BestServiceTime, old.MeanEstimate, old.GrantCorrection
				k.seen, k.seenAt = old.Observations, old.ObservedAt
			}
		}
	}
	if s.CompletedWork >= 0 && s.CompletedWorkAt <= c.now {
		c.done, c.doneAt = s.CompletedWork, s.CompletedWorkAt
	}
}

// closing has open requests end by then; what would end later is not begun any more.
func (c *Controller) closing(at time.Duration) {
	for _, r := range c.open {
		r.end, r.aim = min(r.end, at), min(r.aim, at)
	}
	c.due = c.now
}

// Usage gives what the controller itself has on each engine, and holds.
func (c *Controller) Usage(now time.Duration) OtherProcessUsage {
	c.now = max(c.now, now)
	use := OtherProcessUsage{Queued: c.held}
	for _, e := range c.engines {
		u := EngineUsage{ID: e.ID, Threads: e.threads - e.peer.Threads, PreferredThreads: e.prefer - e.peer.PreferredThreads,
			Work: e.work - e.peer.Work, GrantedMB: e.granted - e.peer.GrantedMB}
		for _, s := range e.spent {
			if s.at >= c.now-c.cfg.WarmUpOverloadWindow {
				u.WarmUpWork += s.work
			}
		}
		if u != (EngineUsage{ID: e.ID}) {
			use.Engines = append(use.Engines, u)
		}
	}
	return use
}

// peerUse takes over what the other controller has running in place of what it had.
func (c *Controller) peerUse(ev OtherProcessUsage) {
	c.peerHeld = max(ev.Queued, 0)
	c.derive()
	now := map[EngineID]EngineUsage{}
	for _, u := range ev.Engines {
		now[u.ID] = EngineUsage{ID: u.ID, Threads: max(u.Threads, 0), PreferredThreads: max(u.PreferredThreads, 0), Work: max(u.Work, 0),
			GrantedMB: max(u.GrantedMB, 0), WarmUpWork: max(u.WarmUpWork, 0)}
	}
	for _, e := range c.engines {
		c.setPeer(e, now[e.ID])
	}
	c.release()
}

func (c *Controller) setPeer(e *engine, u EngineUsage) {
	old := e.peer
	defer c.moved(e, e.threads, e.granted)
	e.peer = u
	e.threads, e.prefer = e.threads+u.Threads-old.Threads, e.prefer+u.PreferredThreads-old.PreferredThreads
	e.work, e.granted = max(e.work+u.Work-old.Work, 0), max(e.granted+u.GrantedMB-old.GrantedMB, 0)
	c.threads, c.granted = c.threads+u.Threads-old.Threads, max(c.granted+u.GrantedMB-old.GrantedMB, 0)
}
