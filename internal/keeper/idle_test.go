package keeper_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

var idle = flag.Duration("idle", 2*time.Second, "how long TestIdleKeepers measures")

// maxIdleKB bounds the resident memory of an idle keeper, in kB. It does not apply under the race detector, which needs
// several times as much.
const maxIdleKB = 64 << 10

// Idle keepers stay within a memory limit and exchange heartbeats. The test logs memory, processor time and replication
// traffic of five idle keepers; with -idle 60s it measures the figures of the design note.
func TestIdleKeepers(t *testing.T) {
	g := startGroup(t, 5, nil)
	g.checkEqualState(g.change(0, put("first", "/settings/over-share-worth", "1")))
	type measurement struct {
		term, bytes int64
		ticks       int
	}
	measure := func(i int) (f measurement) {
		var s struct {
			Term     int64            `json:"term"`
			Counters map[string]int64 `json:"counters"`
		}
		g.get(i, "/v1/status", &s)
		return measurement{
			term: s.Term, bytes: s.Counters["raft_bytes_in"] + s.Counters["raft_bytes_out"],
			ticks: cpuTicks(t, g.members[i].cmd.Process.Pid),
		}
	}
	var before [5]measurement
	for i := range before {
		before[i] = measure(i)
	}
	leader := g.leader()
	time.Sleep(*idle) // the keepers receive no calls during the measurement
	for i := range before {
		after, rss := measure(i), residentKB(t, g.members[i].cmd.Process.Pid)
		t.Logf("%s: %d kB resident, %.2f%% of a core, %.0f bytes per second between keepers, %d elections; leader: %v",
			g.members[i].options.ID, rss,
			float64(after.ticks-before[i].ticks)/idle.Seconds(), float64(after.bytes-before[i].bytes)/idle.Seconds(),
			after.term-before[i].term, i == leader)
		if rss > maxIdleKB && !raceEnabled {
			t.Errorf("%s has %d kB of resident memory, want at most %d", g.members[i].options.ID, rss, maxIdleKB)
		}
		if after.bytes == before[i].bytes {
			t.Errorf("%s neither sent nor received a heartbeat", g.members[i].options.ID)
		}
	}
}

// residentKB returns a process's resident memory in kB.
func residentKB(t *testing.T, pid int) (kb int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			if _, err := fmt.Sscan(value, &kb); err != nil {
				t.Fatal(err)
			}
		}
	}
	return kb
}

// cpuTicks returns the processor time that a process has used, in hundredths of a second.
func cpuTicks(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, system int
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		t.Fatal(err)
	}
	return user + system
}
