package hotrestart

// Phase is the state of a process in a hot restart.
type Phase uint8

// The phases, roughly in the order in which a process passes through them.
const (
	PhaseFindingPredecessor Phase = iota // it is not known yet whether there is a predecessor
	PhaseAwaitingState                   // a living predecessor was found, and its state is awaited
	PhaseAwaitingGoAhead                 // the state is restored, and the predecessor's go-ahead is awaited
	PhaseServing                         // accepts clients
	PhaseDegraded                        // accepts clients within the reserve, since a living predecessor is silent
	PhaseSuperseded                      // the successor accepts clients; this process serves those it accepted earlier
	PhaseFinishing                       // superseded and requested to end: ends when no request or session is open
	PhaseDraining                        // requested to end without a successor: accepts clients until idle
	PhaseEnded                           // the process ends; events are ignored
)

// phaseNames are the names of the phases in metrics and in MessageWait. Both leave the process, so the names are
// fixed.
var phaseNames = [...]string{
	"looking", "asking", "taking", "serving", "guarded", "yielded", "leaving", "draining", "ended",
}

// String returns the name of the phase in metrics and on the wire.
func (p Phase) String() string { return phaseNames[p] }

// Share is the part of the router's limits that a process may use.
type Share uint8

// The shares. A full share and a reserve together stay within the limits, and so do two halves.
const (
	ShareNone    Share = iota // only enough to call the predecessor
	ShareReserve              // the reserve that every process leaves for a successor
	ShareHalf
	ShareFull
)
