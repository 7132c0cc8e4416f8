package hotrestart

// Phase is the state of a process in a hot restart.
type Phase uint8

// Phases.
const (
	PhaseFindingPredecessor Phase = iota // whether there is a predecessor is not known yet
	PhaseAwaitingState                   // a living predecessor was found; its state is awaited
	PhaseAwaitingGoAhead                 // the state is restored; the predecessor's go-ahead is awaited
	PhaseServing                         // accepts clients
	PhaseDegraded                        // accepts clients within the reserve, since a living predecessor is silent
	PhaseSuperseded                      // the successor accepts; work accepted earlier goes on
	PhaseFinishing                       // superseded and requested to end: ends once nothing is open
	PhaseDraining                        // requested to end without a successor: accepts until idle
	PhaseEnded                           // the process ends; events change nothing
)

// phaseNames are the names of the phases in figures and in MessageWait.
var phaseNames = [...]string{
	"looking", "asking", "taking", "serving", "guarded", "yielded", "leaving", "draining", "ended",
}

// String returns the name of the phase in figures and on the wire.
func (p Phase) String() string { return phaseNames[p] }

// Share is the part of the router's limits that a process may use.
type Share uint8

// Shares. The full share and a reserve fit the limits together, and so do two halves.
const (
	ShareNone    Share = iota // only what it takes to call the predecessor
	ShareReserve              // the reserve that every process leaves for a successor
	ShareHalf
	ShareFull
)
