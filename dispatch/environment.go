package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// environment holds what every component of a controller reads: the settings in force, the time of the event being
// handled, and the random source. It also collects the actions of that event.
type environment struct {
	config   Config
	revision int // revision of the settings in force; Configure increments it
	now      time.Duration
	random   *rand.Rand
	actions  []Action
}

func newEnvironment(config Config) *environment {
	return &environment{config: config, random: rand.New(rand.NewPCG(config.Seed, uint64(config.RouterIndex)))}
}

// advance sets the current time. It never decreases.
func (env *environment) advance(now time.Duration) { env.now = max(env.now, now) }

func (env *environment) emit(action Action) { env.actions = append(env.actions, action) }

// takeActions returns the collected actions and clears them.
func (env *environment) takeActions() []Action {
	actions := env.actions
	env.actions = nil
	return actions
}

// nowMS returns the current time in milliseconds, the unit of the packages below internal/decide.
func (env *environment) nowMS() float64 { return milliseconds(env.now) }

// decay returns the remaining weight of an observation made at since. In each time constant the weight falls to 1/e of
// its value.
func (env *environment) decay(since, timeConstant time.Duration) float64 {
	return math.Exp(-(env.now - since).Seconds() / timeConstant.Seconds())
}

// fleetShare returns this router's share of the fleet. It is the same for all routers, so that the shares add up to
// 1.
func (env *environment) fleetShare() float64 { return 1 / float64(max(env.config.Routers, 1)) }

// answerMargin returns the time reserved before a client's deadline, so that a queued request is answered in time.
func (env *environment) answerMargin() time.Duration {
	return 2*housekeepingInterval + 2*env.config.Tick
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// timesAfter returns the part of an ascending list of times that is later than since.
func timesAfter(times []time.Duration, since time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] <= since {
		i++
	}
	return times[i:]
}

// removeItem removes the first occurrence of an item from a list in place.
func removeItem[T comparable](list []T, item T) []T {
	if i := slices.Index(list, item); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
