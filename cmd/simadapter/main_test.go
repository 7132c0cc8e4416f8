package main

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"windflow/dispatch"
)

const startLine = `{"ts-ns":1000000000,"n":1,"in":[{"START":{"who":0,"nonce64":5,"settings":{"balancers":1,"me":0,` +
	`"later-setting":[1],"classes":[{"name":"lookup","goal-time-ns":500000000,"deadline-ns":3000000000,` +
	`"semantics":"idempotent"}],"kinds":["k"],"limits":{"attempts-cap":3},` +
	`"specifics":{"cores-by-kind":[8],"width-by-class":[1],"priorities":true}}}}` + registerListMessages + `]}`

// registerListMessages register an endpoint list with one engine and pass it to instance 0.
const registerListMessages = `,{"REGISTER":{"sheet":0,"elements":[{"executor":7,"flavor":"k","condition":"live"}]}},` +
	`{"ENDPOINTS":{"who":0,"seq-no":1,"mode":"SAVED","sheet":0}}`

// requestLine returns the batch number n with the arrival of the request ref at instance 0.
func requestLine(n, ref string) string {
	return `{"ts-ns":1100000000,"n":` + n + `,"in":[{"REQ":{"who":0,"ref":"` + ref +
		`","kind":"lookup","time-left-ns":3000000000}}]}`
}

// runLines returns what the program prints for the given lines of input.
func runLines(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := run(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), err
}

// Covers a whole exchange: an instance is created, starts an attempt for a request, and starts no more after the
// attempt ended.
func TestStartsAttemptsAndReplies(t *testing.T) {
	out, err := runLines(t, startLine, requestLine("2", "a"),
		`{"ts-ns":1200000000,"n":3,"in":[{"ATTEMPT_END":{"who":0,"ref":"a","hop":0,"executor":7,`+
			`"disposition":"served","delay-seen-ns":1,"last":true,"load":{"busy":0.5,"new":3}}},`+
			`{"BELL":{"who":0,"tag":99}},{"ABORTED":{"who":0,"ref":"a"}}]}`)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 3 || !strings.Contains(lines[1], `"DISPATCH":{"executor":7,"ref":"a","who":0}`) ||
		!strings.Contains(lines[1], `"weight-class":2`) || strings.Contains(lines[2], "DISPATCH") {
		t.Errorf("want 3 replies, and a DISPATCH to executor 7 in the second only:\n%s", out)
	}
	for _, line := range lines {
		if !json.Valid([]byte(line)) {
			t.Errorf("reply is not JSON: %s", line)
		}
	}
}

// A list is registered a second time at the end of a batch. Events before that in the batch must use the first version.
func TestRegisterIsResolvedInOrder(t *testing.T) {
	batch := strings.Replace(startLine, `,"mode":"SAVED","sheet":0}}]}`, `,"mode":"SAVED","sheet":0}},`+
		`{"REGISTER":{"sheet":0,"elements":[{"executor":8,"flavor":"k","condition":"live"}]}}]}`, 1)
	out, err := runLines(t, batch, requestLine("2", "a"))
	if err != nil || !strings.Contains(out, `"executor":7`) || strings.Contains(out, `"executor":8`) {
		t.Errorf("error %v, want an attempt at executor 7 only:\n%s", err, out)
	}
}

// Groups are numbered from 0. Guards against treating a query of group 0 as one without a group: then the loads that
// lock the tables it reads would be ignored.
func TestTableGroupZeroIsAGroup(t *testing.T) {
	for field, want := range map[string]int64{
		``: 0, `,"table-group":0`: dispatch.TableGroupOf(0), `,"table-group":17`: dispatch.TableGroupOf(17),
		`,"table-group":4294967295`: dispatch.TableGroupOf(math.MaxUint32), `,"table-group":-1`: 0,
		`,"table-group":1e300`: 0,
	} {
		event, err := (&host{}).event("REQ", json.RawMessage(`{"ref":"a","kind":"lookup"`+field+`}`))
		if arrival, ok := event.(dispatch.Arrival); err != nil || !ok || arrival.TableGroup != want {
			t.Errorf("%s: %+v, %v, want group %d", field, event, err, want)
		}
	}
}

// An instance that is retired and created again must not keep the state of the former one.
func TestRetiredInstanceStartsEmpty(t *testing.T) {
	restart := strings.TrimSuffix(strings.TrimPrefix(startLine, `{"ts-ns":1000000000,"n":1,"in":[`), "]}")
	out, err := runLines(t, startLine, requestLine("2", "a"),
		`{"ts-ns":1300000000,"n":3,"in":[{"RETIRE":{"who":0}},`+restart+`]}`, requestLine("4", "b"))
	if err != nil || strings.Count(out, "DISPATCH") != 2 {
		t.Errorf("error %v, want two attempts:\n%s", err, out)
	}
}

// Malformed input must yield an error of one line that names the message and the field.
func TestMalformedInput(t *testing.T) {
	for _, test := range []struct{ name, line, want string }{
		{"not JSON", `{"ts-ns":`, "batch"},
		{"no time", `{"n":1,"in":[]}`, "ts-ns"},
		{"wrong type", `{"ts-ns":1,"n":1,"in":[{"BELL":{"who":0,"tag":"x"}}]}`, "message BELL: field tag"},
		{"unknown message", `{"ts-ns":1,"n":1,"in":[{"HELLO":{"who":0}}]}`, "message HELLO: unknown message"},
		{"unknown instance", `{"ts-ns":1,"n":1,"in":[{"BELL":{"who":4,"tag":1}}]}`, "unknown instance 4"},
		{"no instance", `{"ts-ns":1,"n":1,"in":[{"BELL":{"tag":1}}]}`, "message BELL: field who"},
		{"no id", `{"ts-ns":1,"n":1,"in":[{"REQ":{"who":0}}]}`, "message REQ: field ref"},
		{"no classes", `{"ts-ns":1,"n":1,"in":[{"START":{"who":0,"settings":{}}}]}`, "classes"},
		{"mismatched list", `{"ts-ns":1,"n":1,"in":[{"START":{"who":0,"settings":{"specifics":` +
			`{"width-by-class":[1]},"classes":[]}}}]}`, "specifics.width-by-class"},
		{"unknown list", `{"ts-ns":1,"n":1,"in":[{"ENDPOINTS":{"who":0,"mode":"FULL","sheet":3}}]}`, "field sheet"},
	} {
		_, err := runLines(t, test.line)
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", test.name, err, test.want)
		}
	}
}
