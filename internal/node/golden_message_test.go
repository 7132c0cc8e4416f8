package node

import (
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"

	"windflow/internal/golden"
	"windflow/internal/hotrestartipc"
)

// messageSample is a message that one process of a router sends to another.
type messageSample struct {
	file   string // below testdata/golden/upgrade, without .json
	kind   string
	body   any      // nil for a message without a body
	absent []string // fields of the body that this version of the protocol does not have; they are zero
}

// encode returns the message as it is sent on the link.
func (s messageSample) encode(t *testing.T) []byte {
	t.Helper()
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(hotrestartipc.NewMessage(s.kind, s.body))
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

func (s messageSample) name() string { return "upgrade/" + s.file + ".json" }

// Each message between two processes of a router is encoded as in its golden file. Guards against a change of the
// encoding, with which a hot restart between an earlier and a later build would lose state.
func TestGoldenMessagesAreEncoded(t *testing.T) {
	for _, s := range messageSamples() {
		t.Run(s.file, func(t *testing.T) {
			if s.body != nil {
				golden.NoZeroFields(t, s.body, s.absent...)
			}
			golden.Equal(t, s.name(), s.encode(t))
		})
	}
}

// Each golden message is decoded to the sample that it was recorded from.
func TestGoldenMessagesAreDecoded(t *testing.T) {
	for _, s := range messageSamples() {
		t.Run(s.file, func(t *testing.T) {
			var m hotrestartipc.Message
			if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(golden.Read(t, s.name()), &m); err != nil {
				t.Fatal(err)
			}
			if m.Kind != s.kind {
				t.Errorf("the kind is %q, want %q", m.Kind, s.kind)
			}
			if s.body == nil {
				if text := string(m.Body); text != "" && text != "null" {
					t.Errorf("the body is %s, want none", text)
				}
				return
			}
			got := reflect.New(reflect.TypeOf(s.body))
			if err := m.Decode(got.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(s.body, got.Elem().Interface(),
				cmp.Exporter(func(reflect.Type) bool { return true })); diff != "" {
				t.Errorf("decoded message differs from the sample (-sample +decoded):\n%s", diff)
			}
		})
	}
}

// Each kind of message has a sample, and each golden file belongs to a sample.
func TestGoldenMessagesAreComplete(t *testing.T) {
	kinds, files := map[string]bool{}, map[string]bool{}
	for _, s := range messageSamples() {
		kinds[s.kind] = true
		files[golden.Path(s.name())] = true
	}
	for kind := range machineMessages {
		if !kinds[kind] {
			t.Errorf("message kind %q has no sample", kind)
		}
	}
	for _, kind := range []string{
		msgIDChange, msgClaimID, msgClaimIDReply, msgUsage, msgCordon, msgCordonReply, msgKill, msgBye, msgBGP,
		msgTicketClaim,
		msgTicketClaimReply, msgTickets, msgConfiguration,
	} {
		if !kinds[kind] {
			t.Errorf("message kind %q has no sample", kind)
		}
	}
	found, err := filepath.Glob("testdata/golden/upgrade/*/*.json")
	if err != nil || len(found) != len(files) {
		t.Errorf("found %d golden files for %d samples (error: %v)", len(found), len(files), err)
	}
	for _, path := range found {
		if !files[path] {
			t.Errorf("golden file %s has no sample", path)
		}
	}
}

// Each field of a message has a tag with its name on the wire, so that the name of the Go field can change.
func TestMessageFieldsHaveTags(t *testing.T) {
	encoded := []any{hotrestartipc.Message{}}
	for _, s := range messageSamples() {
		if s.body != nil {
			encoded = append(encoded, s.body)
		}
	}
	golden.AllFieldsTagged(t, "json", encoded...)
}
