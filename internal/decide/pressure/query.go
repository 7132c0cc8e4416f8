package pressure

import "math"

// MemoryShortage is what an engine does when its memory grants would exceed its memory.
type MemoryShortage int

// Kinds of memory shortage. A shortage slows down only the query that has to wait or gets a smaller grant; an engine
// that admits all queries slows down all of them.
const (
	ShortageWait   MemoryShortage = iota // the query waits in the engine's queue
	ShortageShrink                       // the query is granted the remaining memory and spills
	ShortagePage                         // the query is admitted, and all queries slow down
)

// Limits holds the configured limits of an engine; 0 means unknown.
type Limits struct {
	MemoryMB      float64
	MaxGrantShare float64 // maximum share of the memory granted to one query
	Shortage      MemoryShortage
}

// Query describes a query before it runs.
type Query struct {
	NeedMB          float64 // estimated memory; 0 if unknown
	TableGroup      int64   // 0 for none
	LocksTableGroup bool    // the query is a load: it locks its group while it runs
	BlockedByLoad   bool    // the query is blocked while a load locks its group
}

// LoadReport holds the figures that an engine reports about itself; a figure below 0 is unknown.
type LoadReport struct {
	InFlight float64 // accepted queries
	Waiting  float64 // accepted queries that wait for memory
	Busy     float64 // share of the cores in use
	Disk     float64 // share of the disks in use
	Memory   float64 // share of the memory that is granted
}

// Headroom is what an additional query would find on an engine.
type Headroom struct {
	MemoryShare   float64 // share of the memory granted, including the query; 0 if unknown
	BlockedByLock bool    // a load locks the query's group
}

// sanitized returns the report with NaN and infinite figures replaced by unknown.
func (r LoadReport) sanitized() LoadReport {
	for _, figure := range []*float64{&r.InFlight, &r.Waiting, &r.Busy, &r.Disk, &r.Memory} {
		if math.IsNaN(*figure) || math.IsInf(*figure, 0) {
			*figure = -1
		}
	}
	return r
}

// memoryGrant returns the memory, in MB, that the engine is expected to grant a query where it chooses the grant.
func (l Limits) memoryGrant(query Query) float64 {
	if !(query.NeedMB > 0) {
		return 0
	}
	mb := query.NeedMB * grantFactor
	if maxGrant := l.MemoryMB * l.MaxGrantShare; maxGrant > 0 {
		mb = min(mb, maxGrant)
	}
	return mb
}

// MaxMemoryShare returns the share of granted memory up to which an engine is sent further queries. It is +Inf where a
// shortage slows down only the query that meets it.
func (l Limits) MaxMemoryShare() float64 {
	if l.Shortage == ShortagePage {
		return pagingMemoryShare
	}
	return math.Inf(1)
}
