package main

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// threadState is where a thread is, as /proc shows it.
type threadState struct {
	state       string // R running, S sleeping, D in an uninterruptible wait, T stopped
	waitChannel string // the kernel's function that the thread waits in; 0 while it runs
}

// uninterruptibleSleep is the state of a thread in a wait that no signal ends.
const uninterruptibleSleep = "D"

type threadID struct{ pid, tid int }

// sampleThreads reads the states of the threads of the processes pids, and of those with that name where pids is empty.
// Threads that end meanwhile are left out.
func sampleThreads(procDir, processName string, pids []int) map[threadID]threadState {
	if len(pids) == 0 {
		pids = processesNamed(procDir, processName)
	}
	found := map[threadID]threadState{}
	for _, pid := range pids {
		tasksDir := filepath.Join(procDir, strconv.Itoa(pid), "task")
		tasks, _ := os.ReadDir(tasksDir) // none of a process that ended
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

func processesNamed(procDir, name string) (pids []int) {
	paths, _ := filepath.Glob(filepath.Join(procDir, "[0-9]*", "comm")) // fails for a malformed pattern only
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

// readThreadState reads a thread's folder in /proc.
func readThreadState(dir string) (state threadState, ok bool) {
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return threadState{}, false
	}
	channel, err := os.ReadFile(filepath.Join(dir, "wchan"))
	if err != nil {
		return threadState{}, false
	}
	// The name is in parentheses and may contain any character, also a parenthesis; the state follows the last one.
	text := string(stat)
	_, fields, ok := strings.Cut(text[max(strings.LastIndexByte(text, ')'), 0):], ") ")
	if !ok {
		return threadState{}, false
	}
	return threadState{fields[:1], string(channel)}, true
}
