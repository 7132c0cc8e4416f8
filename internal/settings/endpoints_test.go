package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// Later events replace earlier ones of the same engine, and the error for an invalid field has its position.
func TestParseEndpoints(t *testing.T) {
	memberJSON := func(phase string) string {
		return `{"id":"s-00c41f7a","host_port":"10.1.0.9:8080","locality":"hall-a","flavor":"std-8","cell":2,"phase":"` +
			phase + `","size":4,"up_since_ms":1500}`
	}
	update, revision, err := ParseEndpoints([]byte(`{"rev":41,"notices":[{"rev":40,"pool":{"complete":true,"members":[` +
		memberJSON("active") + `]}},{"rev":41,"pool":{"complete":false,"members":[` + memberJSON("leaving") + `]}}]}`))
	want := dispatch.EndpointList{Mode: dispatch.ListCached, Endpoints: []dispatch.Endpoint{{
		ID: 0xc41f7a, Zone: "hall-a",
		Kind: "std-8", Cell: 2, CapacityWeight: 4, State: dispatch.Draining, StartedAt: clock.Duration(1500),
	}}}
	if diff := cmp.Diff(want, update.List); diff != "" || err != nil || revision != 41 {
		t.Errorf("revision %d, error %v, difference %s", revision, err, diff)
	}
	for _, test := range []struct{ text, want string }{
		{`{"rev":1,"notices":[{"pool":{"members":[{"id":"c41f7a"}]}}]}`, "notices[0].pool.members[0].id"},
		{`{"rev":1,"notices":[{"pool":{"members":[` + memberJSON("resting") + `]}}]}`, "members[0].phase"},
		{`{"rev":"x"}`, "rev"},
	} {
		if _, _, err := ParseEndpoints([]byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want %q", test.text, err, test.want)
		}
	}
}
