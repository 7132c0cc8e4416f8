package router

// Counters count what the core received, sent and answered. The tags are the names in SHOW STATUS.
type Counters struct {
	Received        int64    `status:"taken"`
	Served          int64    `status:"served"`
	Rejected        int64    `status:"refused"`
	Failed          int64    `status:"failed"`
	Abandoned       int64    `status:"abandoned"` // by clients that went away or canceled
	Malformed       int64    `status:"malformed"`
	Attempts        int64    `status:"sends"`
	Expired         int64    `status:"late"`    // requests whose deadline had passed on arrival
	Overdue         int64    `status:"overdue"` // requests that the answer guard failed
	EndpointUpdates int64    `status:"lists"`
	Outcomes        [8]int64 `status:"ends"`    // ended attempts by dispatch.Outcome
	Events          int64    `status:"handled"` // handled by the dispatch module
	Actions         int64    `status:"actions"` // returned by the dispatch module
	Steps           int64    `status:"steps"`
	MaxOpen         int64    `status:"max_open"`   // most requests open at the same time
	DuplicateEnds   int64    `status:"after_done"` // ends reported for attempts that had ended already
}

// ClassCounters count the requests of a class by their answers, and the attempts that were sent completely to engines.
type ClassCounters struct{ Served, Rejected, Failed, Forwards int64 }

// Statistics are the core's counters. They belong to the loop's goroutine.
type Statistics struct {
	Counters Counters
	ByClass  map[string]*ClassCounters // has each class of the settings from the start
}

// addClass makes sure that a class is listed, with its counters at zero if it is new.
func (s *Statistics) addClass(name string) {
	if s.ByClass[name] == nil {
		s.ByClass[name] = &ClassCounters{}
	}
}
