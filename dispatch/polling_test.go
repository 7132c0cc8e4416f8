package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func newTestPoll(polled bool) *discoveryPoll {
	config := Config{PolledDiscovery: polled, DiscoveryTimeout: 8 * time.Second}
	return &discoveryPoll{env: &environment{config: config, now: time.Hour, random: rand.New(rand.NewPCG(1, 2))}}
}

// Each consecutive failure doubles the backoff up to a limit. An answer resets it, and no poll starts before it has
// ended.
func TestDiscoveryPollBacksOff(t *testing.T) {
	poll := newTestPoll(true)
	poll.subscribe()
	if poll.next() != math.MaxInt64 {
		t.Fatal("a poll is due while another one is outstanding")
	}
	for i, backoff := range []time.Duration{250 * ms, 500 * ms, time.Second, 2 * time.Second, 2 * time.Second} {
		poll.failed()
		wait := poll.next() - poll.env.now
		if wait < backoff/2 || wait > backoff*3/2 {
			t.Errorf("failure %d: next poll after %v, want about %v", i+1, wait, backoff)
		}
		emitted := len(poll.env.actions)
		poll.env.now += wait - 1
		if poll.subscribeIfDue(); len(poll.env.actions) != emitted {
			t.Errorf("failure %d: polled before the end of the backoff", i+1)
		}
		poll.env.now++
		if poll.subscribeIfDue(); len(poll.env.actions) != emitted+1 {
			t.Errorf("failure %d: not polled at the end of the backoff", i+1)
		}
	}
	poll.answered()
	if poll.failed(); poll.next()-poll.env.now > 250*ms*3/2 {
		t.Error("an answer does not reset the backoff")
	}
}

func TestPushedDiscoveryIsNotPolled(t *testing.T) {
	poll := newTestPoll(false)
	poll.subscribe()
	poll.failed()
	poll.env.now += time.Hour
	poll.subscribeIfDue()
	if len(poll.env.actions) != 0 || poll.next() != math.MaxInt64 {
		t.Errorf("%d polls, and the next one at %v, want none", len(poll.env.actions), poll.next())
	}
}

func TestPollingBacksOffAfterFailure(t *testing.T) {
	config := twoClassConfig()
	config.PolledDiscovery, config.DiscoveryTimeout = true, 10*time.Second
	h := newHarness(t, config)
	h.updateEndpoints(ListCached, testEngines(2)...)
	if countActions[Subscribe](h) != 1 {
		t.Fatal("no subscription at start")
	}
	h.updateEndpoints(ListFailed)
	if countActions[Subscribe](h) != 1 {
		t.Fatal("polled again without a backoff")
	}
	h.advance(3 * time.Second)
	if n := countActions[Subscribe](h); n != 2 {
		t.Errorf("%d subscriptions after a failure, want 2", n)
	}
}
