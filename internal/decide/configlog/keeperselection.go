package configlog

import (
	"fmt"
	"hash/fnv"
)

// Waits between calls, in milliseconds.
const (
	// firstWaitMS is the most that is waited after a loss while there is a keeper that wasn't asked since the last answer.
	firstWaitMS = 100
	// leastWaitMS is the wait after each keeper has failed once; it doubles for each round after that.
	leastWaitMS = 500
	// MaxBackoffMS bounds the wait. It is below the usual lease of 6,000, so that a follower that finds a keeper again
	// wasn't gone for longer than the others took to answer.
	MaxBackoffMS = 4_000
)

// courier is what a follower knows of the keepers: which one is asked, and how long is waited after a failure.
type courier struct {
	start   uint32 // another for each process, so that followers spread over the keepers
	moves   uint32
	keepers int // as told last
	losses  int // in a row
	behinds int // answers in a row of keepers that are behind
	theirs  uint64
	untilMS float64 // the end of the wait after the latest loss
}

func newCourier(instance string) courier {
	h := fnv.New32a()
	h.Write([]byte(instance))
	return courier{start: h.Sum32(), keepers: 1}
}

// SelectKeeper says which of n keepers, 0 to n-1, is asked next: the same until one is lost.
func (f *Follower) SelectKeeper(n int) int {
	f.keepers = max(n, 1)
	return int((f.start + f.moves) % uint32(f.keepers))
}

// Unchanged says that a keeper answered that there is nothing new. Offer says it by itself for what it takes.
func (f *Follower) Unchanged() { f.losses, f.behinds, f.theirs = 0, 0, 0 }

// CallFailed says that a call failed, or that its answer couldn't be taken, and gives the milliseconds to wait before the next, which
// goes to another keeper. A loss that is told during the wait changes nothing: the next keeper hasn't been asked yet. jitter is
// evenly drawn from 0 up to 1. nowMS is of a clock that doesn't go back.
func (f *Follower) CallFailed(nowMS, jitter float64) (waitMS float64) {
	if nowMS < f.untilMS {
		return f.untilMS - nowMS
	}
	f.moves++
	f.losses++
	jitter = min(max(jitter, 0), 1)
	if f.losses < f.keepers {
		waitMS = jitter * firstWaitMS
	} else {
		most := float64(leastWaitMS)
		for i := f.losses / f.keepers; i > 1 && most < MaxBackoffMS; i-- {
			most *= 2
		}
		most = min(most, MaxBackoffMS)
		waitMS = most/2 + jitter*most/2
	}
	f.untilMS = nowMS + waitMS
	return waitMS
}

// KeepersAreBehind says that as many answers in a row as there are keepers came from keepers that are behind, and the highest revision
// among them: the keepers were restored from an older state. The follower keeps what it has until they are past it.
func (f *Follower) KeepersAreBehind() (theirs uint64, ahead bool) {
	return f.theirs, f.behinds >= f.keepers
}

func (f *Follower) behind(theirs, ours uint64) error {
	f.behinds++
	f.theirs = max(f.theirs, theirs)
	return fmt.Errorf("%w: it is at revision %d, this follower at %d", ErrBehind, theirs, ours)
}
