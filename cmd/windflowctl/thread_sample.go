package main

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// threadState is the state of a thread as /proc shows it.
type threadState struct {
	state       string // R running, S sleeping, D uninterruptible sleep, T stopped
	waitChannel string // kernel function in which the thread waits; 0 while it runs
}

// uninterruptibleSleep is the state of a thread in a wait that no signal interrupts.
const uninterruptibleSleep = "D"

type threadID struct{ pid, tid int }

// sampleThreads reads the states of all threads of the processes pids, or of the processes named processName if pids is
// empty. procDir is the mount point of /proc. Threads that end during the call are left out.
func sampleThreads(procDir, processName string, pids []int) map[threadID]threadState {
	if len(pids) == 0 {
		pids = processesNamed(procDir, processName)
	}
	found := map[threadID]threadState{}
	for _, pid := range pids {
		tasksDir := filepath.Join(procDir, strconv.Itoa(pid), "task")
		tasks, _ := os.ReadDir(tasksDir) // empty for a process that ended
		for _, task := range tasks {
			tid, err := strconv.Atoi(task.Name())
			if err != nil {
				continue
			}
			if state, ok := readThreadState(filepath.Join(tasksDir, task.Name())); ok {
				found[threadID{pid, tid}] = state
			}
		}
	}
	return found
}

// processesNamed returns the ids of the processes with the given name.
func processesNamed(procDir, name string) (pids []int) {
	paths, _ := filepath.Glob(filepath.Join(procDir, "[0-9]*", "comm")) // fails only for a malformed pattern
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil || strings.TrimSpace(string(text)) != name {
			continue
		}
		if pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path))); err == nil {
			pids = append(pids, pid)
		}
	}
	return pids
}

// readThreadState reads the state of a thread from its folder in /proc. It returns false if the thread ended.
func readThreadState(dir string) (state threadState, ok bool) {
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return threadState{}, false
	}
	channel, err := os.ReadFile(filepath.Join(dir, "wchan"))
	if err != nil {
		return threadState{}, false
	}
	// The thread's name is in parentheses and may contain any character, including parentheses. The state follows the
	// last closing one.
	text := string(stat)
	_, fields, ok := strings.Cut(text[max(strings.LastIndexByte(text, ')'), 0):], ") ")
	if !ok {
		return threadState{}, false
	}
	return threadState{fields[:1], string(channel)}, true
}
