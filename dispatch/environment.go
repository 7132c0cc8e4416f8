package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// environment is what every part of a controller reads: the settings in force, the time of the event that is being
// handled, and the source of randomness. It also collects the actions of that event.
type environment struct {
	config   Config
	revision int // of the settings; Configure increments it
	now      time.Duration
	random   *rand.Rand
	actions  []Action
}

func newEnvironment(config Config) *environment {
	return &environment{config: config, random: rand.New(rand.NewPCG(config.Seed, uint64(config.RouterIndex)))}
}

// advance moves the time on; it never goes back.
func (env *environment) advance(now time.Duration) { env.now = max(env.now, now) }

func (env *environment) emit(action Action) { env.actions = append(env.actions, action) }

// takeActions returns the collected actions and clears them.
func (env *environment) takeActions() []Action {
	actions := env.actions
	env.actions = nil
	return actions
}

// nowMS is the time in milliseconds, as the packages under internal/decide take it.
func (env *environment) nowMS() float64 { return milliseconds(env.now) }

// decay is what is left now of evidence from an earlier time, which falls to 1/e in each time constant.
func (env *environment) decay(since, timeConstant time.Duration) float64 {
	return math.Exp(-(env.now - since).Seconds() / timeConstant.Seconds())
}

// fleetShare is this router's share of the fleet: the same for all routers, so that their shares add up to 1.
func (env *environment) fleetShare() float64 { return 1 / float64(max(env.config.Routers, 1)) }

// answerMargin is kept before a client's deadline, so that a queued request is answered in time.
func (env *environment) answerMargin() time.Duration {
	return 2*housekeepingInterval + 2*env.config.Tick
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// after returns the times in an ascending list that lie after one of them.
func timesAfter(times []time.Duration, since time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] <= since {
		i++
	}
	return times[i:]
}

// without removes an item from a list, if it is in it.
func removeItem[T comparable](list []T, item T) []T {
	if i := slices.Index(list, item); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
