package discovery

import (
	"encoding/hex"
	"errors"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
)

var testNames = RecordNames{Zones: []string{"hall-a", "hall-b"}, Kinds: []string{"std-8"}}

const (
	eventFive         = "0000000000000005"
	record            = "00c41f7a" + "7f080001" + "1f90" + "00" + "01" + "00" + "0002" + "000005dc" + "0000000000000000"
	unknownZoneRecord = "00c41f7a" + "7f080001" + "1f90" + "00" + "02" + "00" + "0002" + "000005dc" + "0000000000000000"
)

// encodeFrame decodes the hexadecimal body of a frame and returns it with its length field.
func encodeFrame(t *testing.T, body string) []byte {
	t.Helper()
	b, err := hex.DecodeString(body)
	if err != nil {
		t.Fatal(err)
	}
	return append([]byte{0, 0, byte(len(b) >> 8), byte(len(b))}, b...)
}

// TestParseFrame checks frames of each kind and each error of a malformed frame.
func TestParseFrame(t *testing.T) {
	engine := dispatch.Endpoint{ID: 0xc41f7a, Zone: "hall-b", Kind: "std-8", Cell: 2, CapacityWeight: 1.5}
	for _, test := range []struct {
		name, body string
		err        error
		want       []dispatch.Endpoint
		mode       dispatch.ListMode
	}{
		{"heartbeat", eventFive + "00", nil, nil, dispatch.ListIncremental},
		{"complete list", eventFive + "01" + record, nil, []dispatch.Endpoint{engine}, dispatch.ListComplete},
		{"changes", eventFive + "02" + record, nil, []dispatch.Endpoint{engine}, dispatch.ListIncremental},
		{"unknown kind", eventFive + "03", errUnknownFrameKind, nil, 0},
		{"truncated record", eventFive + "02" + record[:50], errPartialRecord, nil, 0},
		{"zone out of range", eventFive + "02" + unknownZoneRecord, errRecordOutOfRange, nil, 0},
		{"heartbeat with a payload", eventFive + "00" + record, errUnexpectedPayload, nil, 0},
		{"too short", "00", errFrameTooShort, nil, 0},
	} {
		parsed, err := parseFrame(encodeFrame(t, test.body)[lengthSize:], testNames)
		if !errors.Is(err, test.err) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.err)
		}
		if err != nil || test.err != nil {
			continue
		}
		if parsed.event != 5 {
			t.Errorf("%s: event %d, want 5", test.name, parsed.event)
		}
		want := dispatch.EndpointList{Mode: test.mode, Endpoints: test.want}
		if diff := cmp.Diff(want, parsed.update.List); diff != "" {
			t.Errorf("%s: endpoint list (-want +got):\n%s", test.name, diff)
		}
		if len(test.want) > 0 && parsed.update.Addresses[engine.ID] != "127.8.0.1:8080" {
			t.Errorf("%s: address %q, want \"127.8.0.1:8080\"", test.name, parsed.update.Addresses[engine.ID])
		}
	}
}

// FuzzParseFrame parses arbitrary frames. It checks that the parser does not panic and that each parsed endpoint has an
// address, a start time that is not negative, and a zone and a kind from the settings.
func FuzzParseFrame(f *testing.F) {
	for _, body := range []string{
		eventFive + "00", eventFive + "01" + record, eventFive + "02" + record + record, eventFive + "02" + unknownZoneRecord,
	} {
		b, err := hex.DecodeString(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, err := parseFrame(b, testNames)
		if err != nil {
			return
		}
		for _, e := range parsed.update.List.Endpoints {
			if _, ok := parsed.update.Addresses[e.ID]; !ok || !slices.Contains(testNames.Zones, e.Zone) ||
				!slices.Contains(testNames.Kinds, e.Kind) || e.StartedAt < 0 {
				t.Fatalf("invalid endpoint accepted: %+v", e)
			}
		}
	})
}
