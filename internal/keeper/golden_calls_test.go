package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
	"windflow/internal/golden"
)

// step is one HTTP call to a keeper; an empty body means none.
type step struct{ method, path, body string }

// varyingFields match the parts of responses that differ between runs. The golden files contain their names without the
// values.
var varyingFields = []*regexp.Regexp{
	regexp.MustCompile(`"(at_ms|until_ms|uptime_ms|calls|refused|bytes_in|bytes_out|raft_bytes_in|raft_bytes_out|` +
		`term|last_index|applied_index)":[0-9.e+]+`),
	regexp.MustCompile(`"(dir)":"[^"]*"`),
	regexp.MustCompile(`(of type|is no) [^ ]*keeper\.[^ "]*`), // names of Go types in errors of encoding/json
	regexp.MustCompile(`(dial) tcp [0-9.:]+`),
}

func maskVaryingFields(text []byte) []byte {
	for _, part := range varyingFields {
		text = part.ReplaceAll(text, []byte(`"$1":VARIES`))
	}
	return text
}

// startSingleKeeper runs a keeper k1 until the test ends, with options modified by tweak, and returns its HTTP address.
func startSingleKeeper(t *testing.T, tweak func(*Options)) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	host := LoopbackHost()
	ready := make(chan string, 1)
	o := Options{
		ID: "k1", Cluster: "golden", Dir: t.TempDir(), HTTPAddr: host + ":7401", RaftAddr: host + ":7402",
		Peers: []Peer{{ID: "k1", HTTPAddr: host + ":7401", RaftAddr: host + ":7402"}}, Log: slog.New(slog.DiscardHandler),
		Check: rejectEight, OnReady: func(address string) { ready <- address }, Retention: configlog.Retention{Revisions: 3},
		MaxPollWait: 20 * time.Millisecond, LeaseDuration: 10 * time.Minute, ChangeTimeout: goldenTimeout,
	}
	tweak(&o)
	result := make(chan error, 1)
	go func() { result <- Run(ctx, o) }()
	t.Cleanup(func() {
		cancel()
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
	select {
	case address := <-ready:
		return address
	case err := <-result:
		result <- err
		t.Fatal(err)
	}
	return ""
}

// rejectEight is a Check that rejects content in which /settings/over-share-worth is 8.
func rejectEight(entries map[string]json.RawMessage) *configerror.Error {
	const pointer = "/settings/over-share-worth"
	if string(entries[pointer]) != "8" {
		return nil
	}
	return &configerror.Error{Kind: configerror.Invalid, Pointer: pointer, Reason: "is 8", Revision: 4}
}

// runCalls makes the calls one after the other. It returns a transcript of the calls and the responses, with varying
// values masked.
func runCalls(t *testing.T, address string, header http.Header, steps []step) []byte {
	t.Helper()
	var transcript bytes.Buffer
	for _, s := range steps {
		request, err := http.NewRequest(s.method, "http://"+address+s.path, strings.NewReader(s.body))
		if err != nil {
			t.Fatal(err)
		}
		for name, values := range header {
			request.Header[name] = values
		}
		request.Close = true
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&transcript, "> %s %s\n> %.300s\n< %d %s Retry-After=%q\n< %s\n\n", s.method, s.path, s.body, answer.StatusCode,
			answer.Header.Get("Content-Type"), answer.Header.Get("Retry-After"), bytes.TrimSpace(maskVaryingFields(body)))
	}
	return transcript.Bytes()
}

// waitForLeader returns once the keeper leads and has recorded the stage "member".
func waitForLeader(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(goldenTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		answer, err := http.Get("http://" + address + "/v1/status")
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if bytes.Contains(text, []byte(`"stage":"member"`)) && bytes.Contains(text, []byte(`"state":"Leader"`)) {
			return
		}
	}
	t.Fatalf("the keeper at %s is not the leader within %v", address, goldenTimeout)
}

// discoveryAddresses is the value of an entry that is long enough to make the complete content larger than a change of
// another entry.
const discoveryAddresses = `"board-1.example:7300,board-2.example:7300"`

func report(name string, revision uint64, weight, trailingFields string) string {
	hash := configlog.HashEntries(map[string]json.RawMessage{
		"/settings/over-share-worth": json.RawMessage(weight),
		"/board":                     json.RawMessage(discoveryAddresses),
	})
	return fmt.Sprintf(`{"report":{"name":%q,"instance":"00000000000a-000000000000000b",`+
		`"revision":%d,"hash":"%s"%s},"wait_ms":5000}`,
		name, revision, hash, trailingFields)
}

// The responses to operators' calls, errors included, match the recorded ones byte for byte.
func TestGoldenOperatorCalls(t *testing.T) {
	address := startSingleKeeper(t, func(*Options) {})
	waitForLeader(t, address)
	const changes, revert, putWeight = "/v1/changes", "/v1/revert", `"put":{"/settings/over-share-worth":%s}`
	change := func(id, value, trailingFields string) step {
		return step{"POST", changes, fmt.Sprintf(`{"id":%q,`+putWeight+`%s}`, id, value, trailingFields)}
	}
	golden.Equal(t, "calls-operators.txt", runCalls(t, address, nil, []step{
		{"GET", "/v1/config", ""},
		{"GET", "/v1/revisions", ""},
		change("a", "1", `,"expect":0,"note":"first","at_ms":5`), change("a", "1", `,"expect":0,"note":"first"`),
		change("a", "2", ""),
		change("b", "2", `,"expect":0`), change("b", "2", `,"expect":1`), change("c", "8", ""), change("d", "3", ""),
		change("e", "4", ""),
		{"POST", changes, `{"id":"f","remove":["/board"]}`},
		{"POST", changes, `{"id":"f","put":{"/listen":1}}`},
		{"POST", changes, `{"id":"f"}`},
		{"POST", changes, `{"put":{}}`},
		{"POST", changes, `{"id":7}`},
		{"POST", changes, `{"id":"f","no":1}`},
		{"POST", changes, `{`},
		{"POST", changes, `{"id":"f"} {}`},
		{"POST", changes, ""},
		{"POST", changes, `{"id":"` + strings.Repeat("x", maxBodyBytes) + `"}`},
		{"POST", revert, `{"id":"g","to":2,"expect":4,"note":"back"}`},
		{"POST", revert, `{"id":"h","to":0}`},
		{"POST", revert, `{"id":"h","to":99}`},
		{"POST", revert, `{"id":"h"}`},
		{"GET", "/v1/config", ""},
		{"GET", "/v1/config?revision=4", ""},
		{"GET", "/v1/config?revision=1", ""},
		{"GET", "/v1/config?revision=99&wait_ms=1", ""},
		{"GET", "/v1/config?revision=x", ""},
		{"GET", "/v1/config?wait_ms=x", ""},
		{"GET", "/v1/revisions", ""},
		{"GET", "/v1/revisions?from=4&most=1", ""},
		{"GET", "/v1/revisions?most=x", ""},
		{"DELETE", "/v1/followers/r9", ""},
		{"GET", "/v1/changes", ""},
		{"GET", "/v1/unknown", ""},
		{"GET", "/v1/status", ""},
	}))
}

// The responses to followers' calls and to queries of a revision's convergence match the recorded ones byte for byte.
func TestGoldenFollowerCalls(t *testing.T) {
	address := startSingleKeeper(t, func(*Options) {})
	waitForLeader(t, address)
	rejection := fmt.Sprintf(`,"refused":{"revision":2,"hash":"%064d",`+
		`"pointer":"/settings/over-share-worth","reason":"no"}`,
		7)
	put := func(id, value string) step {
		return step{
			"POST", "/v1/changes",
			fmt.Sprintf(`{"id":%q,"put":{"/settings/over-share-worth":%s,"/board":%s}}`, id, value, discoveryAddresses),
		}
	}
	currentReport := strings.Replace(report("r1", 2, "2", ""), "5000", "0", 1)
	golden.Equal(t, "calls-followers.txt", runCalls(t, address, nil, []step{
		put("a", "1"),
		{"POST", "/v1/roster", `[{"name":"r5","instance":"00000000000a-000000000000000b"}]`},
		{"POST", "/v1/follow", report("r1", 0, "0", "")},
		{"POST", "/v1/follow", report("r2", 0, "0", "")},
		{"POST", "/v1/follow", report("r3", 0, "0", "")},
		put("b", "2"),
		{"POST", "/v1/follow", report("r1", 1, "1", "")},
		{"POST", "/v1/follow", currentReport},
		{"POST", "/v1/follow", report("r2", 1, "1", rejection)},
		{"POST", "/v1/follow", report("r4", 2, "9", "")},
		{"POST", "/v1/follow", strings.Replace(report("r5", 7, "9", ""), "5000", "100", 1)},
		{"POST", "/v1/roster", `[{"name":"r6","instance":"i"},{"name":"r7","instance":"i"}]`},
		{"DELETE", "/v1/followers/r7", ""},
		{"POST", "/v1/roster", `[]`},
		{"POST", "/v1/roster", `{}`},
		{"POST", "/v1/roster", "[{}" + strings.Repeat(",{}", maxJoinBatch) + "]"},
		{"POST", "/v1/follow", `{}`},
		{"POST", "/v1/follow", `{"report":{"name":"r1"}}`},
		{"POST", "/v1/follow", `{"report":{"hash":"x"}}`},
		{"GET", "/v1/rollout", ""},
		{"GET", "/v1/rollout?revision=1", ""},
		{"GET", "/v1/rollout?revision=9&wait_ms=1", ""},
		{"GET", "/v1/rollout?revision=x", ""},
		{"GET", "/v1/leases", ""},
		{"GET", "/v1/peer", ""},
		{"GET", "/v1/leader", ""},
		{"GET", "/v1/status", ""},
	}))
}

// The responses of a keeper that waits for the other keepers and has no capacity for followers match the recorded ones
// byte for byte.
func TestGoldenUnavailableResponses(t *testing.T) {
	address := startSingleKeeper(t, func(o *Options) {
		o.Peers = append(o.Peers, Peer{ID: "k2", HTTPAddr: LoopbackHost() + ":1", RaftAddr: LoopbackHost() + ":1"})
		o.ChangeTimeout, o.MaxWaitingFollowers = 50*time.Millisecond, -1
	})
	steps := []step{
		{"GET", "/v1/status", ""},
		{"GET", "/v1/peer", ""},
		{"GET", "/v1/leader", ""},
		{"GET", "/v1/leases", ""},
		{"POST", "/v1/changes", `{"id":"a","put":{"/settings/over-share-worth":1}}`},
		{"POST", "/v1/revert", `{"id":"a","to":0}`},
		{"DELETE", "/v1/followers/r1", ""},
		{"GET", "/v1/rollout", ""},
		{"POST", "/v1/roster", `[{"name":"r6","instance":"i"}]`},
		{"POST", "/v1/follow", report("r1", 0, "0", "")},
		{"GET", "/v1/config", ""},
	}
	golden.Equal(t, "calls-unserved.txt", runCalls(t, address, nil, steps))
	forwardedHeader := http.Header{"Windflow-Keeper": {"k2"}}
	golden.Equal(t, "calls-unserved-passed.txt", runCalls(t, address, forwardedHeader, []step{steps[4], steps[7]}))
}
