package configlog

import (
	"maps"
	"slices"
)

// memberProcesses are the instances of the two latest processes of a follower: during a hot restart both are alive.
type memberProcesses struct{ latest, previous string }

func (p memberProcesses) has(instance string) bool {
	return instance != "" && (p.latest == instance || p.previous == instance)
}

// members are all followers that ever called a keeper and are not removed, by name.
type members map[string]memberProcesses

// add records a process and returns whether it is new. Of two processes the one with the greater instance is the later,
// whichever is added first: a call of a process that has ended can arrive late.
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

// remove returns whether there was such a member.
func (m members) remove(name string) bool {
	_, known := m[name]
	delete(m, name)
	return known
}

// names returns the names of the members, sorted.
func (m members) names() []string { return slices.Sorted(maps.Keys(m)) }
