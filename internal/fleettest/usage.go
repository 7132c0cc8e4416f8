package fleettest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is the processor time that a process has used since its start, and its resident memory, at one time.
type Usage struct {
	CPU      time.Duration // processor time, all threads, user and system
	Resident int64         // bytes
	At       time.Time
}

// Usage reads the usage of the process from the system. The processor time is that of the process's CPU-time clock
// (clock_getcpuclockid(3)). It is the sum of utime and stime in /proc/PID/stat, but in nanoseconds instead of hundredths
// of a second.
func (p *Process) Usage() Usage {
	p.harness.T.Helper()
	cpu, err := processorTime(p.PID)
	if err != nil {
		p.harness.T.Fatalf("%s: %v\n%s", p.Name, err, p.Log())
	}
	return Usage{CPU: cpu, Resident: resident(p.PID), At: time.Now()}
}

// processorTime reads the CPU-time clock of a process. The kernel's id of that clock consists of the inverted bits of
// the process id, shifted left by three, and three bits that select the scheduler's clock of the entire process.
func processorTime(pid int) (time.Duration, error) {
	const ofProcess = 2
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|ofProcess), &ts); err != nil {
		return 0, fmt.Errorf("cannot read the processor time of process %d: %w", pid, err)
	}
	return time.Duration(ts.Nano()), nil
}

// ticks returns the sum of utime and stime in /proc/PID/stat, in hundredths of a second.
func ticks(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields after the name, want at least 13", pid, len(fields))
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return user + system, err
}

// resident returns the resident memory of a process (VmRSS) in bytes, or 0 if the process has ended.
func resident(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// Percent returns the processor time that a process used between two readings, in percent of one core.
func Percent(from, to Usage) float64 {
	return 100 * (to.CPU - from.CPU).Seconds() / to.At.Sub(from.At).Seconds()
}

// MB returns the resident memory in units of 2^20 bytes.
func (u Usage) MB() float64 { return float64(u.Resident) / (1 << 20) }
