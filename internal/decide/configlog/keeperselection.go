package configlog

import (
	"fmt"
	"hash/fnv"
)

// Waits between calls, in milliseconds.
const (
	// maxFailoverWaitMS bounds the wait after a failure while there is a keeper that wasn't called since the last
	// answer.
	maxFailoverWaitMS = 100
	// minBackoffMS is the longest wait after each keeper has failed once; it doubles with each further round.
	minBackoffMS = 500
	// MaxBackoffMS bounds the wait. It is below the usual lease of 6,000, so that a follower that finds a keeper again
	// wasn't missing for longer than the others took to answer.
	MaxBackoffMS = 4_000
)

// keeperSelection decides which keeper a follower calls, and how long it waits after a failed call.
type keeperSelection struct {
	offset         uint32 // differs between processes, so that followers spread over the keepers
	switches       uint32
	keepers        int     // number of keepers at the latest selection
	failures       int     // in a row
	behindAnswers  int     // answers in a row of keepers that are behind
	behindRevision uint64  // the highest revision among those
	waitUntilMS    float64 // end of the wait after the latest failure
}

func newKeeperSelection(instance string) keeperSelection {
	h := fnv.New32a()
	h.Write([]byte(instance))
	return keeperSelection{offset: h.Sum32(), keepers: 1}
}

func (s *keeperSelection) selectKeeper(keepers int) int {
	s.keepers = max(keepers, 1)
	return int((s.offset + s.switches) % uint32(s.keepers))
}

// callSucceeded resets the counts of failures and of keepers that are behind.
func (s *keeperSelection) callSucceeded() { s.failures, s.behindAnswers, s.behindRevision = 0, 0, 0 }

// countBehind counts an answer of a keeper that is behind the follower.
func (s *keeperSelection) countBehind(keeperRevision uint64) {
	s.behindAnswers++
	s.behindRevision = max(s.behindRevision, keeperRevision)
}

func (s *keeperSelection) callFailed(nowMS, jitter float64) (waitMS float64) {
	if nowMS < s.waitUntilMS {
		return s.waitUntilMS - nowMS
	}
	s.switches++
	s.failures++
	jitter = min(max(jitter, 0), 1)
	if s.failures < s.keepers {
		waitMS = jitter * maxFailoverWaitMS
	} else {
		backoffMS := s.backoffMS()
		waitMS = backoffMS/2 + jitter*backoffMS/2
	}
	s.waitUntilMS = nowMS + waitMS
	return waitMS
}

// backoffMS returns the longest wait after the present number of failures.
func (s *keeperSelection) backoffMS() float64 {
	backoffMS := float64(minBackoffMS)
	for round := s.failures / s.keepers; round > 1 && backoffMS < MaxBackoffMS; round-- {
		backoffMS *= 2
	}
	return min(backoffMS, MaxBackoffMS)
}

// SelectKeeper returns which of n keepers, 0 to n-1, is called next: the same until a call fails.
func (f *Follower) SelectKeeper(n int) int { return f.selection.selectKeeper(n) }

// CallSucceeded records that a keeper answered that there is nothing new. Offer includes it for what it accepts.
func (f *Follower) CallSucceeded() { f.selection.callSucceeded() }

// CallFailed records that a call failed, or that its answer couldn't be used, and returns the milliseconds to wait
// before the next, which goes to another keeper. A failure that is reported during the wait changes nothing: the next
// keeper hasn't been called yet. jitter is uniform from 0 to 1. nowMS is of a monotonic clock.
func (f *Follower) CallFailed(nowMS, jitter float64) (waitMS float64) {
	return f.selection.callFailed(nowMS, jitter)
}

// KeepersAreBehind returns whether as many answers in a row as there are keepers were from keepers that are behind,
// and the highest revision among them: the keepers were restored from an older state. The follower keeps its revision
// until they are past it.
func (f *Follower) KeepersAreBehind() (keeperRevision uint64, behind bool) {
	return f.selection.behindRevision, f.selection.behindAnswers >= f.selection.keepers
}

// keeperBehind counts the answer of a keeper that is behind and returns the error for it.
func (f *Follower) keeperBehind(keeperRevision uint64) error {
	f.selection.countBehind(keeperRevision)
	return fmt.Errorf("%w: it is at revision %d, this follower at %d", ErrBehind, keeperRevision, f.current.revision)
}
