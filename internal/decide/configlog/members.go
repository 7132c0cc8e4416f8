package configlog

import (
	"maps"
	"slices"
)

// memberProcesses holds the instances of a follower's two latest processes. During a hot restart both are running.
type memberProcesses struct{ latest, previous string }

func (p memberProcesses) has(instance string) bool {
	return instance != "" && (p.latest == instance || p.previous == instance)
}

// members holds all followers that have called a keeper and were not removed, by name.
type members map[string]memberProcesses

// add records a process and reports whether it was added. Of two processes, the one with the greater instance is the
// later one, whichever is added first, because a call of a process that has ended can arrive late.
func (m members) add(name, instance string) bool {
	processes, known := m[name]
	full := !known && len(m) >= MaxMembers
	if processes.has(instance) || full || (FollowerStatus{Name: name, Instance: instance}).Check() != nil {
		return false
	}
	if instance > processes.latest {
		m[name] = memberProcesses{latest: instance, previous: processes.latest}
	} else {
		m[name] = memberProcesses{latest: processes.latest, previous: instance}
	}
	return true
}

// remove deletes a member and reports whether it existed.
func (m members) remove(name string) bool {
	_, known := m[name]
	delete(m, name)
	return known
}

// names returns the names of the members, sorted.
func (m members) names() []string { return slices.Sorted(maps.Keys(m)) }
