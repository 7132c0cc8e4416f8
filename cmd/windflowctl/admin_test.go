package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"windflow/internal/golden"
)

// adminCalls has the arguments of calls of the admin command. The last call fails.
var adminCalls = [][]string{
	{"ready"}, {"figures"}, {"exclude", "s-00000001"}, {"include", "s-00000001"}, {"exclude", "unknown"},
}

// adminRouter simulates a router's admin API and records the requests that it receives.
type adminRouter struct {
	address  string
	requests bytes.Buffer
}

func startAdminRouter(t *testing.T) *adminRouter {
	t.Helper()
	router := &adminRouter{}
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	router.address = strings.TrimPrefix(server.URL, "http://")
	return router
}

func (a *adminRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(&a.requests, "%s %s %q\n", r.Method, r.URL, body)
	if strings.HasSuffix(r.URL.Path, "/unknown") {
		w.WriteHeader(http.StatusNotFound)
	}
	_, _ = io.WriteString(w, `{"said":"yes"}`+"\n")
}

// Guards against a change of the requests to a router or of the output, which operators' tools depend on.
func TestGoldenAdmin(t *testing.T) {
	router := startAdminRouter(t)
	var printed bytes.Buffer
	for _, args := range adminCalls {
		out, stderr, err := run(t, append([]string{adminName, "--door", router.address}, args...)...)
		fmt.Fprintf(&printed, "%v\n%s%s%v\n\n", args, out, stderr, err)
	}
	_, _, err := run(t, adminName, "ready")
	fmt.Fprintf(&printed, "no door: %v\n", err)
	golden.Equal(t, "door.txt", bytes.ReplaceAll(printed.Bytes(), []byte(router.address), []byte("DOOR")))
	golden.Equal(t, "door-calls.txt", router.requests.Bytes())
}

// Under its former name, the command must send the same requests and print the same output. It must also print a notice
// of its present name to standard error.
func TestFormerNameOfAdmin(t *testing.T) {
	router := startAdminRouter(t)
	const notice = "windflowctl: the command \"door\" is called \"admin\" now\n"
	var printed bytes.Buffer
	for _, args := range adminCalls {
		out, stderr, err := run(t, append([]string{formerAdminName, "--door", router.address}, args...)...)
		if stderr != notice {
			t.Errorf("%v: standard error %q, want %q", args, stderr, notice)
		}
		fmt.Fprintf(&printed, "%v\n%s%v\n\n", args, out, err)
	}
	_, stderrWithoutRouter, err := run(t, formerAdminName, "ready")
	if stderrWithoutRouter != notice {
		t.Errorf("without a router: standard error %q, want %q", stderrWithoutRouter, notice)
	}
	fmt.Fprintf(&printed, "no door: %v\n", err)
	golden.Equal(t, "door.txt", bytes.ReplaceAll(printed.Bytes(), []byte(router.address), []byte("DOOR")))
	golden.Equal(t, "door-calls.txt", router.requests.Bytes())
}
