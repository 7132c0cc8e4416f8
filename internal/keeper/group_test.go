package keeper_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"windflow/internal/decide/configlog"
	"windflow/internal/keeper"
)

// group is a group of keeper processes that are connected by links that can be blocked.
type group struct {
	t       *testing.T
	members []*process
	links   map[[2]int][]*link // by calling and called keeper: [0] for replication, [1] for HTTP calls
}

// newGroup prepares n keepers without starting them. If tweak is not nil, it can modify the options of each.
func newGroup(t *testing.T, n int, tweak func(i int, o *keeper.Options)) *group {
	t.Helper()
	g := &group{t: t, links: map[[2]int][]*link{}}
	dir := t.TempDir()
	var raft, http []string
	for range n {
		h := keeper.LoopbackHost()
		raft, http = append(raft, h+":7402"), append(http, h+":7401")
	}
	for i := range n {
		id := fmt.Sprintf("k%d", i+1)
		o := keeper.Options{
			ID: id, Dir: filepath.Join(dir, id), HTTPAddr: http[i], RaftAddr: raft[i],
			ChangeTimeout: 10 * time.Second,
		}
		for j := range n {
			p := keeper.Peer{ID: fmt.Sprintf("k%d", j+1), RaftAddr: raft[j], HTTPAddr: http[j]}
			if i != j {
				h := keeper.LoopbackHost()
				p.RaftAddr, p.HTTPAddr = h+":7402", h+":7401"
				g.links[[2]int{i, j}] = []*link{newLink(t, p.RaftAddr, raft[j]), newLink(t, p.HTTPAddr, http[j])}
			}
			o.Peers = append(o.Peers, p)
		}
		if tweak != nil {
			tweak(i, &o)
		}
		p := &process{t: t, options: o, logFile: filepath.Join(dir, id+".log")}
		g.members = append(g.members, p)
	}
	t.Cleanup(func() {
		for _, p := range g.members {
			if p.cmd != nil && p.alive() {
				_ = p.cmd.Process.Kill()
				<-p.exited
			}
			if t.Failed() {
				t.Logf("%s logged:\n%s", p.options.ID, p.logText())
			}
		}
	})
	return g
}

// startGroup prepares a group, starts it and waits until it has a leader.
func startGroup(t *testing.T, n int, tweak func(i int, o *keeper.Options)) *group {
	t.Helper()
	g := newGroup(t, n, tweak)
	for _, p := range g.members {
		p.launch()
	}
	g.leader()
	return g
}

// partition blocks or unblocks all links between the keepers in a and those in b.
func (g *group) partition(blocked bool, a, b []int) {
	for _, i := range a {
		for _, j := range b {
			for _, l := range append(g.links[[2]int{i, j}], g.links[[2]int{j, i}]...) {
				l.setBlocked(forward, blocked)
				l.setBlocked(reverse, blocked)
			}
		}
	}
}

// status has the fields of a keeper's status that the tests use.
type status struct {
	ID       string `json:"id"`
	Leader   string `json:"leader"`
	State    string `json:"state"`
	Majority bool   `json:"majority"`
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	Roster   int    `json:"roster"`
	Folder   struct {
		Stage string   `json:"stage"`
		Votes bool     `json:"votes"`
		Aside []string `json:"aside"`
	} `json:"folder"`
	Counters  map[string]int64 `json:"counters"`
	DiskError string           `json:"disk_error"`
}

// leader waits until a majority of the keepers agrees on a leader, and returns the leader's index.
func (g *group) leader() (index int) {
	g.t.Helper()
	waitUntil(g.t, "a leader", func() bool {
		index = -1
		for i, p := range g.members {
			var s status
			if p.cmd == nil || !p.alive() || g.tryStatus(i, &s) != nil || s.State != "Leader" || !s.Majority {
				continue
			}
			index = i
		}
		if index < 0 {
			return false
		}
		agreeing := 0
		for i, p := range g.members {
			var s status
			if p.cmd != nil && p.alive() && g.tryStatus(i, &s) == nil && s.Leader == g.members[index].options.ID {
				agreeing++
			}
		}
		return agreeing > len(g.members)/2
	})
	return index
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// shortTimeoutClient is for calls to keepers that may be stopped or unreachable.
var shortTimeoutClient = &http.Client{
	Timeout:   500 * time.Millisecond,
	Transport: &http.Transport{DisableKeepAlives: true},
}

func (g *group) tryStatus(i int, s *status) error {
	answer, err := shortTimeoutClient.Get("http://" + g.members[i].options.HTTPAddr + "/v1/status")
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	return json.NewDecoder(answer.Body).Decode(s)
}

func (g *group) status(i int) (s status) {
	g.t.Helper()
	if code := g.get(i, "/v1/status", &s); code != http.StatusOK {
		g.t.Fatalf("status of keeper %d: HTTP status %d", i, code)
	}
	return s
}

func (g *group) get(i int, path string, out any) (code int) {
	g.t.Helper()
	return g.do(i, http.MethodGet, path, nil, out)
}

func (g *group) post(i int, path string, in, out any) (code int) {
	g.t.Helper()
	return g.do(i, http.MethodPost, path, in, out)
}

func (g *group) do(i int, method, path string, in, out any) (code int) {
	g.t.Helper()
	code, err := sendCall("http://"+g.members[i].options.HTTPAddr, method, path, in, out)
	if err != nil {
		g.t.Fatalf("%s: %s %s: %v", g.members[i].options.ID, method, path, err)
	}
	return code
}

func sendCall(base, method, path string, in, out any) (code int, err error) {
	var body io.Reader
	switch v := in.(type) {
	case nil:
	case string:
		body = bytes.NewBufferString(v)
	default:
		text, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, base+path, body)
	if err != nil {
		return 0, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err == nil && out != nil && len(text) > 0 {
		if err = json.Unmarshal(text, out); err != nil {
			err = fmt.Errorf("%w: %s", err, text)
		}
	}
	return answer.StatusCode, err
}

// reply has all fields of the response to a change.
type reply struct {
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"repeated"`
	Kind     string `json:"kind"`
	Pointer  string `json:"pointer"`
	Reason   string `json:"reason"`
	Done     string `json:"done"`
}

func put(id, pointer, value string) configlog.Change {
	return configlog.Change{ID: id, Put: map[string]json.RawMessage{pointer: json.RawMessage(value)}}
}

// change commits a change through keeper i and returns its revision.
func (g *group) change(i int, c configlog.Change) uint64 {
	g.t.Helper()
	var r reply
	if code := g.post(i, "/v1/changes", c, &r); code != http.StatusOK {
		g.t.Fatalf("change %s at %s: status %d: %+v", c.ID, g.members[i].options.ID, code, r)
	}
	return r.Revision
}

// config is the response to GET /v1/config.
type config struct {
	Revision uint64                     `json:"revision"`
	Hash     string                     `json:"hash"`
	Entries  map[string]json.RawMessage `json:"entries"`
}

// waitForRevision waits until keeper i has a revision, and returns the content of the revision.
func (g *group) waitForRevision(i int, rev uint64) (c config) {
	g.t.Helper()
	if code := g.get(i, fmt.Sprintf("/v1/config?revision=%d&wait_ms=20000", rev), &c); code != http.StatusOK {
		g.t.Fatalf("%s does not have revision %d: status %d", g.members[i].options.ID, rev, code)
	}
	return c
}

// checkEqualState waits until all keepers have the revision, and checks that it is current and has the same content at
// all of them.
func (g *group) checkEqualState(rev uint64) {
	g.t.Helper()
	first := g.waitForRevision(0, rev)
	for i := range g.members {
		c := g.waitForRevision(i, rev)
		s := g.status(i)
		if c.Hash != first.Hash || s.Revision != rev || s.Hash != first.Hash {
			g.t.Errorf("%s: revision %d has hash %s, the current revision %d has %s; at k1 the hash is %s",
				s.ID, rev, c.Hash, s.Revision, s.Hash, first.Hash)
		}
	}
}

func (g *group) kill(i int) { g.t.Helper(); g.members[i].terminate(syscall.SIGKILL) }
