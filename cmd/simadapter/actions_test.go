package main

import (
	"encoding/json"
	"testing"
	"time"

	"windflow/dispatch"
)

// Each action must be encoded to exactly the bytes that the simulator's protocol specifies.
func TestActionsAreEncoded(t *testing.T) {
	for _, test := range []struct {
		action dispatch.Action
		want   string
	}{
		{
			dispatch.StartAttempt{Request: "a<", Engine: 7, Timeout: time.Second},
			`{"DISPATCH":{"allow-for-ns":1000000000,"executor":7,"ref":"a\u003c","who":3}}`,
		},
		{dispatch.StartAttempt{Request: "a", Engine: 7}, `{"DISPATCH":{"executor":7,"ref":"a","who":3}}`},
		{
			dispatch.SetResources{Request: "a", GrantMB: 0.5, Priority: 2},
			`{"ASSIGN_TERMS":{"allot-mb":0.5,"ref":"a","weight-class":2,"who":3}}`,
		},
		{
			dispatch.SetResources{Request: "a"},
			`{"ASSIGN_TERMS":{"allot-mb":0,"ref":"a","weight-class":0,"who":3}}`,
		},
		{dispatch.CancelAttempt{Request: "a", Attempt: 0}, `{"CANCEL":{"hop":0,"ref":"a","who":3}}`},
		{
			dispatch.Reject{Request: "a", RetryAfter: 5},
			`{"PUSH_BACK":{"not-before-for-ns":5,"ref":"a","who":3}}`,
		},
		{dispatch.Reject{Request: "a"}, `{"PUSH_BACK":{"ref":"a","who":3}}`},
		{dispatch.FailRequest{Request: "a"}, `{"ERROR":{"ref":"a","who":3}}`},
		{dispatch.Subscribe{}, `{"FOLLOW":{"on":true,"who":3}}`},
		{dispatch.SetTimer{Tag: 4, After: 9}, `{"SCHEDULE":{"delay-ns":9,"tag":4,"who":3}}`},
	} {
		got, err := json.Marshal(encodeAction(3, test.action))
		if err != nil || string(got) != test.want {
			t.Errorf("%#v: %s, %v, want %s", test.action, got, err, test.want)
		}
	}
}
