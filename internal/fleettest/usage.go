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

// Usage is the processor time that a process has used since its start, and the memory that it uses.
type Usage struct {
	CPU      time.Duration // processor time, all threads, user and system
	Resident int64         // bytes
	At       time.Time
}

// Usage reads a process's usage from the system. The processor time is the process's own clock
// (clock_getcpuclockid(3)): the same sum that /proc/PID/stat has as utime and stime, in nanoseconds in place of
// hundredths of a second.
func (p *Process) Usage() Usage {
	p.harness.T.Helper()
	cpu, err := processorTime(p.PID)
	if err != nil {
		p.harness.T.Fatalf("%s: %v\n%s", p.Name, err, p.Log())
	}
	return Usage{CPU: cpu, Resident: resident(p.PID), At: time.Now()}
}

// processorTime reads the clock of a process: by the kernel's clock ids, the bits of the id are those of the process's,
// inverted, above three that say "of an entire process, by the scheduler's sum".
func processorTime(pid int) (time.Duration, error) {
	const ofProcess = 2
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|ofProcess), &ts); err != nil {
		return 0, fmt.Errorf("the processor time of %d: %w", pid, err)
	}
	return time.Duration(ts.Nano()), nil
}

// ticks reads utime and stime of /proc/PID/stat, in hundredths of a second.
func ticks(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return user + system, err
}

// resident is the memory that a process uses, in bytes (VmRSS); 0 for one that has ended.
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

// Percent is the processor time that a process used between two readings, in percent of one core.
func Percent(from, to Usage) float64 {
	return 100 * (to.CPU - from.CPU).Seconds() / to.At.Sub(from.At).Seconds()
}

// MB is the memory that a process uses, in 2^20 bytes.
func (u Usage) MB() float64 { return float64(u.Resident) / (1 << 20) }
