package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"windflow/internal/decide/configlog"
)

// Keepers are processes of the built program windflowkeeper. Each connects to each other one through separate relays.
type Keepers struct {
	Members []*Keeper

	harness *Harness
	links   map[[2]int][]*Relay // by the indexes of the calling and the called keeper: for replication and for HTTP calls
}

// Keeper is a process of the built program windflowkeeper.
type Keeper struct {
	*Process
	ID, HTTPAddr, RaftAddr string

	args []string
}

// Keepers starts n keepers and waits until all are ready. They validate changes against the configuration base of a
// router.
func (h *Harness) Keepers(n int, base Config) *Keepers {
	h.T.Helper()
	keepers := &Keepers{harness: h, links: map[[2]int][]*Relay{}}
	file := filepath.Join(h.Dir, "base.json")
	base.Name, base.Listen = "base", "127.0.0.1:1"
	if err := os.WriteFile(file, base.Text(), 0o600); err != nil {
		h.T.Fatal(err)
	}
	for i := range n {
		keepers.Members = append(keepers.Members, &Keeper{
			ID: fmt.Sprint("k", i+1), HTTPAddr: FreeAddress(h.T), RaftAddr: FreeAddress(h.T),
		})
	}
	for i, m := range keepers.Members {
		var peers []string
		for j, p := range keepers.Members {
			raft, http := p.RaftAddr, p.HTTPAddr
			if i != j {
				links := []*Relay{NewRelay(h.T, raft), NewRelay(h.T, http)}
				keepers.links[[2]int{i, j}] = links
				raft, http = links[0].Addr, links[1].Addr
			}
			peers = append(peers, p.ID+"="+raft+"/"+http)
		}
		m.args = []string{
			"serve", "--id", m.ID, "--dir", filepath.Join(h.Dir, m.ID), "--http", m.HTTPAddr, "--raft", m.RaftAddr,
			"--peers", strings.Join(peers, ","), "--base", file,
		}
		keepers.launch(i)
	}
	for _, m := range keepers.Members {
		m.Ready()
	}
	return keepers
}

// launch starts the process of keeper i.
func (k *Keepers) launch(i int) {
	k.harness.T.Helper()
	m := k.Members[i]
	cmd := exec.Command(filepath.Join(Programs(k.harness.T), "windflowkeeper"), m.args...)
	cmd.Env = os.Environ()
	m.Process = k.harness.Start(m.ID, cmd)
}

// Restart starts keeper i, which has ended, again with its folder, and waits until it is ready.
func (k *Keepers) Restart(i int) {
	k.harness.T.Helper()
	k.launch(i)
	k.Members[i].Ready()
}

// SetPartitioned blackholes all links between the keepers a and the keepers b, or heals these links.
func (k *Keepers) SetPartitioned(partitioned bool, a, b []int) {
	for _, i := range a {
		for _, j := range b {
			for _, l := range append(k.links[[2]int{i, j}], k.links[[2]int{j, i}]...) {
				if l.Heal(); partitioned {
					l.Blackhole(Upstream)
					l.Blackhole(Downstream)
				}
			}
		}
	}
}

// WireBytes returns the bytes between keepers so far, including headers.
func (k *Keepers) WireBytes() (sum int64) {
	for _, links := range k.links {
		for _, l := range links {
			sum += l.WireBytes()
		}
	}
	return sum
}

// errRetryable is the error for a call that may succeed if repeated: there is no leader or no majority, or the keeper
// does not respond.
var errRetryable = errors.New("retryable")

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call makes one HTTP call to the keeper with in as its body, and decodes the response into out. It returns
// errRetryable if the keeper does not respond within the time limit or reports that it is unavailable.
func (m *Keeper) call(within time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.HTTPAddr+path, body)
	if err != nil {
		return err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", errRetryable, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", errRetryable, err)
	case response.StatusCode == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s", errRetryable, text)
	case response.StatusCode >= 300:
		return fmt.Errorf("%s %s at %s: %d %s", method, path, m.ID, response.StatusCode, text)
	}
	return json.Unmarshal(text, out)
}

// Change proposes a change to keeper i, and repeats the call with the same id, at the next keeper each time, until one
// accepts it. It returns the revision and the time of the first call. It fails the test if the change is rejected or
// WaitTimeout has passed.
func (k *Keepers) Change(i int, c configlog.Change) (revision uint64, proposedAt time.Time) {
	k.harness.T.Helper()
	revision, proposedAt, err := k.TryChange(i, c)
	if err != nil {
		k.harness.T.Fatal(err)
	}
	return revision, proposedAt
}

// TryChange is like Change, but returns an error instead of failing the test, so that any goroutine may call it.
func (k *Keepers) TryChange(i int, c configlog.Change) (revision uint64, proposedAt time.Time, err error) {
	proposedAt = time.Now()
	for {
		var done configlog.Result
		err := k.Members[i].call(10*time.Second, http.MethodPost, "/v1/changes", c, &done)
		if err == nil {
			return done.Revision, proposedAt, nil
		}
		if !errors.Is(err, errRetryable) || time.Since(proposedAt) > WaitTimeout {
			return 0, proposedAt, fmt.Errorf("change %s: %w", c.ID, err)
		}
		i = (i + 1) % len(k.Members)
	}
}

// Leader returns the index of the leader that keeper i reports. It waits until there is one.
func (k *Keepers) Leader(i int) int {
	k.harness.T.Helper()
	for began := time.Now(); time.Since(began) < WaitTimeout; {
		var s struct {
			Leader   string `json:"leader"`
			Majority bool   `json:"majority"`
		}
		if err := k.Members[i].call(time.Second, http.MethodGet, "/v1/status", nil, &s); err != nil || !s.Majority {
			continue
		}
		for j, m := range k.Members {
			if m.ID == s.Leader {
				return j
			}
		}
	}
	k.harness.T.Fatalf("%s reports no leader within %v", k.Members[i].ID, WaitTimeout)
	return 0
}

// AwaitConvergence polls keeper i until it reports that a revision is in force everywhere, and returns its status.
func (k *Keepers) AwaitConvergence(i int, revision uint64) configlog.ConvergenceStatus {
	k.harness.T.Helper()
	var last error
	for began := time.Now(); time.Since(began) < WaitTimeout; {
		var v configlog.ConvergenceStatus
		last = k.Members[i].call(10*time.Second, http.MethodGet,
			fmt.Sprintf("/v1/rollout?revision=%d&wait_ms=7000", revision), nil, &v)
		if last == nil && v.Converged {
			return v
		}
		if last == nil {
			last = fmt.Errorf("%d in force, %d behind, %d rejected, %d missing, unreached keepers %v", len(v.InForce),
				len(v.Behind), len(v.Rejected), len(v.Missing), v.UnreachedKeepers)
		}
	}
	k.harness.T.Fatalf("revision %d is not in force everywhere according to %s: %v", revision, k.Members[i].ID, last)
	return configlog.ConvergenceStatus{}
}

// Pause suspends the process of the keeper until Resume.
func (m *Keeper) Pause() { m.Signal(syscall.SIGSTOP) }

// Resume continues the process after Pause.
func (m *Keeper) Resume() { m.Signal(syscall.SIGCONT) }

// ZoneLinks are the links from one zone to each keeper. All routers of the zone use them.
type ZoneLinks struct{ Relays []*Relay }

// ZoneLinks creates the links from one zone to each keeper.
func (k *Keepers) ZoneLinks(tb testing.TB) *ZoneLinks {
	tb.Helper()
	z := &ZoneLinks{}
	for _, m := range k.Members {
		z.Relays = append(z.Relays, NewRelay(tb, m.HTTPAddr))
	}
	return z
}

// Section returns the settings section "keepers" of router i, with the addresses of these links. The order of the
// keepers depends on i, so that the routers are distributed over them.
func (z *ZoneLinks) Section(dir string, i int) map[string]any {
	var addresses []string
	for j := range z.Relays {
		addresses = append(addresses, z.Relays[(i+j)%len(z.Relays)].Addr)
	}
	return map[string]any{"addresses": addresses, "dir": dir, "hold_ms": 2000}
}

// WireBytes returns the bytes on the links so far, including headers.
func (z *ZoneLinks) WireBytes() (sum int64) {
	for _, r := range z.Relays {
		sum += r.WireBytes()
	}
	return sum
}

// Each calls a function for the link to each of the given keepers.
func (z *ZoneLinks) Each(keepers []int, do func(*Relay)) {
	for _, i := range keepers {
		do(z.Relays[i])
	}
}
