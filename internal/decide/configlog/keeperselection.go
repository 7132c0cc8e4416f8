package configlog

import (
	"fmt"
	"hash/fnv"
)

// The waits between calls after a failure, in milliseconds.
const (
	// maxFailoverWaitMS limits the wait before calling a keeper that was not called since the last successful call.
	maxFailoverWaitMS = 100
	// minBackoffMS limits the wait after each keeper has failed once. The limit doubles with each further round, up to
	// MaxBackoffMS.
	minBackoffMS = 500
	// MaxBackoffMS limits the wait. It is below the usual lease of 6,000 ms, so that a follower calls a keeper that can
	// be reached again before the leases of that keeper count as complete.
	MaxBackoffMS = 4_000
)

// keeperSelection decides which keeper a follower calls, and how long it waits after a failed call.
type keeperSelection struct {
	offset         uint32  // hash of the instance, so that followers spread over the keepers
	switches       uint32  // number of switches to the next keeper
	keepers        int     // number of keepers at the latest selection; at least 1
	failures       int     // consecutive failed calls
	behindAnswers  int     // answers of keepers that are behind, since the last successful call
	behindRevision uint64  // the highest revision among these keepers
	waitUntilMS    float64 // when the wait after the latest failure ends
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

// callSucceeded resets the counts of failures and of answers of keepers that are behind.
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

// backoffMS returns the limit of the wait after the current number of failures.
func (s *keeperSelection) backoffMS() float64 {
	backoffMS := float64(minBackoffMS)
	for round := s.failures / s.keepers; round > 1 && backoffMS < MaxBackoffMS; round-- {
		backoffMS *= 2
	}
	return min(backoffMS, MaxBackoffMS)
}

// SelectKeeper returns the index, from 0 to n-1, of the keeper to call next among n keepers. It stays the same until a
// call fails.
func (f *Follower) SelectKeeper(n int) int { return f.selection.selectKeeper(n) }

// CallSucceeded records that a keeper answered, which ends the backoff. Offer calls it unless it returns an error;
// other callers need it only for answers that they do not pass to Offer.
func (f *Follower) CallSucceeded() { f.selection.callSucceeded() }

// CallFailed records that a call failed or that its answer could not be used. It returns the milliseconds to wait
// before the next call, which goes to another keeper. A failure reported during the wait only returns the rest of the
// wait, because the next keeper has not been called yet. nowMS is the time on a monotonic clock, and jitter is
// uniformly distributed from 0 to 1.
func (f *Follower) CallFailed(nowMS, jitter float64) (waitMS float64) {
	return f.selection.callFailed(nowMS, jitter)
}

// KeepersAreBehind reports whether as many answers as there are keepers came from keepers that are behind, without a
// successful call in between, and returns the highest revision among these keepers. This happens after the keepers were
// restored from an older state. The follower keeps its revision until the keepers have passed it.
func (f *Follower) KeepersAreBehind() (keeperRevision uint64, behind bool) {
	return f.selection.behindRevision, f.selection.behindAnswers >= f.selection.keepers
}

// keeperBehind counts an answer of a keeper that is behind and returns an error that wraps ErrBehind.
func (f *Follower) keeperBehind(keeperRevision uint64) error {
	f.selection.countBehind(keeperRevision)
	return fmt.Errorf("%w: the keeper is at revision %d, the follower at %d",
		ErrBehind, keeperRevision, f.current.revision)
}
