package router

// Counters count the requests, attempts, events and actions of a Core since its start. The tags are the names in SHOW
// STATUS.
type Counters struct {
	Received        int64    `status:"taken"`
	Served          int64    `status:"served"`
	Rejected        int64    `status:"refused"`
	Failed          int64    `status:"failed"`
	Abandoned       int64    `status:"abandoned"` // by clients that disconnected or canceled
	Malformed       int64    `status:"malformed"`
	Attempts        int64    `status:"sends"`
	Expired         int64    `status:"late"`    // requests whose deadline had passed on arrival
	Overdue         int64    `status:"overdue"` // requests that failed because the answer guard fired
	EndpointUpdates int64    `status:"lists"`
	Outcomes        [8]int64 `status:"ends"`       // ended attempts, indexed by dispatch.Outcome
	Events          int64    `status:"handled"`    // events passed to the dispatch module
	Actions         int64    `status:"actions"`    // actions that the dispatch module returned
	Steps           int64    `status:"steps"`      // calls of Core.decide: one per step of the loop, and some in between
	MaxOpen         int64    `status:"max_open"`   // maximum of requests open at the same time
	DuplicateEnds   int64    `status:"after_done"` // ends reported for attempts that had already ended
}

// ClassCounters count the requests of a class by their answers. Forwards counts the attempts that were sent completely
// to an engine.
type ClassCounters struct{ Served, Rejected, Failed, Forwards int64 }

// Statistics are the counters of a Core. They must be used only in the loop's goroutine.
type Statistics struct {
	Counters Counters
	ByClass  map[string]*ClassCounters // by class name; has an entry for each configured class, used or not
}

// addClass adds a class with zero counters unless it is present.
func (s *Statistics) addClass(name string) {
	if s.ByClass[name] == nil {
		s.ByClass[name] = &ClassCounters{}
	}
}
