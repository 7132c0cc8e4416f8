package pressure

import "math"

// MemoryShortage is what an engine does when its memory grants exceed its memory.
type MemoryShortage int

// Forms of shortage. A query that waits, or gets what is left, hurts itself; where all are admitted, it hurts all.
const (
	ShortageWait   MemoryShortage = iota // the query waits in the engine's queue
	ShortageShrink                       // the query gets what is left, and spills
	ShortagePage                         // the query is admitted, and all queries slow down
)

// Limits are what the settings say of an engine; 0 means unknown.
type Limits struct {
	MemoryMB      float64
	MaxGrantShare float64 // share of the memory that one query gets at most
	Shortage      MemoryShortage
}

// Query is what is known of a query before it runs.
type Query struct {
	NeedMB          float64 // by estimate; 0 if unknown
	TableGroup      int64   // 0 for none
	LocksTableGroup bool    // it is a load: it locks its group while it runs
	BlockedByLoad   bool    // it is blocked while a load locks its group
}

// LoadReport is what an engine reports of itself; a figure below 0 is unknown.
type LoadReport struct {
	InFlight float64 // queries that it has accepted
	Waiting  float64 // those of them that wait for memory
	Busy     float64 // share of its cores in use
	Disk     float64 // share of its disks in use
	Memory   float64 // share of its memory that is granted
}

// Headroom is what one more query would meet.
type Headroom struct {
	MemoryShare   float64 // share of the memory granted with it; 0 if unknown
	BlockedByLock bool    // a load locks its group
}

// sound is the report with figures that are NaN or infinite taken for unknown.
func (r LoadReport) sanitized() LoadReport {
	for _, figure := range []*float64{&r.InFlight, &r.Waiting, &r.Busy, &r.Disk, &r.Memory} {
		if math.IsNaN(*figure) || math.IsInf(*figure, 0) {
			*figure = -1
		}
	}
	return r
}

// grant is the memory that the engine will grant a query, where it chooses itself.
func (l Limits) memoryGrant(query Query) float64 {
	if !(query.NeedMB > 0) {
		return 0
	}
	mb := query.NeedMB * grantFactor
	if most := l.MemoryMB * l.MaxGrantShare; most > 0 {
		mb = min(mb, most)
	}
	return mb
}

// MaxMemoryShare is the share of its memory up to which an engine takes further queries. There is no bound where a
// shortage hurts only the query that meets it.
func (l Limits) MaxMemoryShare() float64 {
	if l.Shortage == ShortagePage {
		return pagingMemoryShare
	}
	return math.Inf(1)
}
