package dispatch

import (
	"reflect"
	"slices"
	"strconv"
)

// class is a class of requests and what the router has learned about it.
type class struct {
	Class
	// objectiveRatio is R of the delay-ratio control: the latency objective of the class divided by the latency
	// objective of the preferred class.
	objectiveRatio float64
	estimate       serviceEstimate
}

func newClass(settings Class) *class {
	settings.Threads = max(settings.Threads, 1)
	return &class{Class: settings, estimate: newServiceEstimate(settings)}
}

// allowsEngine reports whether requests of the class may run on an engine.
func (k *class) allowsEngine(e *engine) bool {
	if len(k.Zones) > 0 && !slices.Contains(k.Zones, e.Zone) {
		return false
	}
	return len(k.Kinds) == 0 || slices.Contains(k.Kinds, e.Kind)
}

// sameScope reports whether two engines belong to the same idempotency scope, so that each drops repeats of requests
// that the other has run.
func (k *class) sameScope(a, b *engine) bool {
	switch k.IdempotencyScope {
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Cell == b.Cell
	case ScopeAll:
	}
	return true
}

// classSet holds all configured classes and values that depend on all of them.
type classSet struct {
	all              []*class
	preferred        *class // class with the shortest latency objective
	widestThreads    int    // largest thread count of any class
	anyBlockedByLoad bool
}

func newClassSet(settings []Class) *classSet {
	set := &classSet{}
	for _, k := range settings {
		set.all = append(set.all, newClass(k))
	}
	set.derive()
	return set
}

// derive computes the values that depend on the settings of all classes.
func (set *classSet) derive() {
	set.preferred = set.all[0]
	for _, k := range set.all {
		if k.LatencyObjective < set.preferred.LatencyObjective {
			set.preferred = k
		}
	}
	for _, k := range set.all {
		k.objectiveRatio = k.LatencyObjective.Seconds() / set.preferred.LatencyObjective.Seconds()
		set.widestThreads = max(set.widestThreads, k.Threads)
		set.anyBlockedByLoad = set.anyBlockedByLoad || k.BlockedByLoad
	}
}

// byName returns the class of that name, or the first class if there is no such class.
func (set *classSet) byName(name string) *class {
	found := set.all[0]
	for _, k := range set.all {
		if k.Name == name {
			found = k
		}
	}
	return found
}

// largestWork returns the usual work of the class with the most work, in core seconds.
func (set *classSet) largestWork() (largest float64) {
	for _, k := range set.all {
		largest = max(largest, k.estimate.usualWork())
	}
	return largest
}

// configure applies changed settings and returns the settings in force and the names of those that were not applied.
// Open requests depend on their class, so these settings of a class cannot change: its name, semantics, idempotency
// scope, ordering by key, thread count, and whether it locks table groups or is blocked by loads.
func (set *classSet) configure(changed, inForce []Class) (settings []Class, notApplied []string) {
	sameName := func(k Class, known *class) bool { return k.Name == known.Name }
	if !slices.EqualFunc(changed, set.all, sameName) {
		notApplied, changed = append(notApplied, "classes"), inForce
	}
	settings = slices.Clone(changed)
	for i, known := range set.all {
		if k := &settings[i]; !known.configure(k) {
			notApplied = append(notApplied, "classes["+strconv.Itoa(i)+"]: effect, order, threads, load or wait")
		}
	}
	return settings, notApplied
}

// configure applies the settings in changed. Settings that cannot change while the router runs keep their present
// values, which overwrite those in changed. It returns false if changed held a different value for any of these
// settings; a thread count below 1 counts as 1.
func (k *class) configure(changed *Class) bool {
	wanted := *changed
	wanted.Threads = max(wanted.Threads, 1)
	changed.Semantics = k.Semantics
	changed.IdempotencyScope = k.IdempotencyScope
	changed.OrderByKey = k.OrderByKey
	changed.Threads = k.Threads
	changed.LocksTableGroup = k.LocksTableGroup
	changed.BlockedByLoad = k.BlockedByLoad
	k.Class = *changed
	return reflect.DeepEqual(wanted, *changed)
}
