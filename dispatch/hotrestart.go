package dispatch

import "time"

// Snapshot holds what a controller knows about the fleet, for the controller of the process that replaces it. Times
// refer to a clock that both processes use.
//
// The JSON names are kept because earlier versions of the program read and write them.
type Snapshot struct {
	Known           []EngineID       `json:"Known"` // engines that an endpoint list has named
	Cordoned        []EngineID       `json:"Excluded"`
	Engines         []EngineSnapshot `json:"Engines"`
	Classes         []ClassSnapshot  `json:"Classes"`
	CompletedWork   float64          `json:"Done"` // on warm engines, decaying, in core seconds; negative if unknown
	CompletedWorkAt time.Duration    `json:"DoneAt"`
}

// EngineSnapshot holds what a controller knows about one engine.
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

// ClassSnapshot holds what a controller has learned about one class.
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

// EngineUsage describes what a controller runs on an engine, and the work that it sent to the engine within the
// overload window while the engine was warming up.
type EngineUsage struct {
	ID               EngineID `json:"ID"`
	Threads          float64  `json:"Threads"`
	PreferredThreads float64  `json:"Prefer"`
	Work             float64  `json:"Work"`
	GrantedMB        float64  `json:"Granted"`
	WarmUpWork       float64  `json:"Cold"`
}

// withoutNegatives returns the usage with negative values replaced by 0, as it was received from another process.
func (u EngineUsage) withoutNegatives() EngineUsage {
	return EngineUsage{
		ID:               u.ID,
		Threads:          max(u.Threads, 0),
		PreferredThreads: max(u.PreferredThreads, 0),
		Work:             max(u.Work, 0),
		GrantedMB:        max(u.GrantedMB, 0),
		WarmUpWork:       max(u.WarmUpWork, 0),
	}
}

// OtherProcessUsage reports what the other process of this router runs during a hot restart. It counts as this
// process's own usage.
type OtherProcessUsage struct {
	Engines []EngineUsage `json:"Engines"`
	Queued  int           `json:"Held"`
}

// Snapshot returns the state that a successor continues from.
func (c *Controller) Snapshot() Snapshot {
	var s Snapshot
	c.fleet.snapshot(&s)
	for _, k := range c.classes.all {
		s.Classes = append(s.Classes, k.estimate.snapshot(k.Name))
	}
	return s
}

func (e *engine) snapshot() EngineSnapshot {
	return EngineSnapshot{
		ID:                 e.ID,
		StartedAt:          e.StartedAt,
		WarmUpStart:        e.warmUp.start,
		WarmUpEnd:          e.warmUp.end,
		Slowness:           e.health.slowness,
		FailureShare:       e.health.failureShare,
		SlownessAt:         e.health.slownessAt,
		FailureShareAt:     e.health.failureShareAt,
		ConnectionFailures: e.health.connectionFailures,
		OnProbation:        e.health.onProbation,
	}
}

// restore continues from a snapshot. Invalid values in it are ignored, as it may come from another version of the
// program.
func (c *Controller) restore(snapshot Snapshot) {
	for _, id := range snapshot.Known {
		c.endpoints.cordons.add(id)
	}
	for _, id := range snapshot.Cordoned {
		c.setCordoned(id, true)
	}
	for _, old := range snapshot.Engines {
		if e := c.endpoints.engine(old.ID); e != nil {
			c.fleet.restoreEngine(e, old)
		}
	}
	for _, old := range snapshot.Classes {
		for _, k := range c.classes.all {
			if k.Name == old.Name {
				k.estimate.restore(old)
			}
		}
	}
	c.warmUps.restoreCompleted(snapshot.CompletedWork, snapshot.CompletedWorkAt)
}

// Usage returns what the controller itself, without the other process, runs on each engine and has queued.
func (c *Controller) Usage(now time.Duration) OtherProcessUsage {
	c.env.advance(now)
	usage := OtherProcessUsage{Queued: c.queues.len()}
	windowStart := c.env.now - c.env.config.WarmUp.OverloadWindow
	for _, e := range c.endpoints.engines() {
		own := e.usage.own(e.ID)
		own.WarmUpWork = e.warmUp.sentSince(windowStart, 0)
		if own != (EngineUsage{ID: e.ID}) {
			usage.Engines = append(usage.Engines, own)
		}
	}
	return usage
}

// setOtherProcessUsage replaces the recorded usage and queue length of the other process.
func (c *Controller) setOtherProcessUsage(event OtherProcessUsage) {
	c.queues.setOtherProcessLength(event.Queued, c.env.config.MaxQueued)
	c.fleet.setOtherProcessUsage(event.Engines)
	c.requests.release()
}
