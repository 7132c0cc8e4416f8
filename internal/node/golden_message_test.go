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

// messageSample is a message between two processes of a router, as one of them says it.
type messageSample struct {
	file   string // below testdata/golden/upgrade, without .json
	kind   string
	body   any      // nil for a message that says no more than its kind
	absent []string // fields of the body that this version does not have, and leaves zero
}

// encode returns the message as a frame of the link carries it.
func (s messageSample) encode(t *testing.T) []byte {
	t.Helper()
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(hotrestartipc.NewMessage(s.kind, s.body))
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

func (s messageSample) name() string { return "upgrade/" + s.file + ".json" }

// Each message between two processes of a router is encoded as it was when its golden file was recorded. It guards
// against a hot restart from or to a program that was built before a change of this code, in which something is lost.
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

// Each recorded message is read back completely.
func TestGoldenMessagesAreDecoded(t *testing.T) {
	for _, s := range messageSamples() {
		t.Run(s.file, func(t *testing.T) {
			var m hotrestartipc.Message
			if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(golden.Read(t, s.name()), &m); err != nil {
				t.Fatal(err)
			}
			if m.Kind != s.kind {
				t.Errorf("the kind is %q, not %q", m.Kind, s.kind)
			}
			if s.body == nil {
				if text := string(m.Body); text != "" && text != "null" {
					t.Errorf("the body is %s", text)
				}
				return
			}
			got := reflect.New(reflect.TypeOf(s.body))
			if err := m.Decode(got.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(s.body, got.Elem().Interface(),
				cmp.Exporter(func(reflect.Type) bool { return true })); diff != "" {
				t.Errorf("sample -, read +\n%s", diff)
			}
		})
	}
}

// Each kind of message has a sample, and each golden file too.
func TestGoldenMessagesAreComplete(t *testing.T) {
	kinds, files := map[string]bool{}, map[string]bool{}
	for _, s := range messageSamples() {
		kinds[s.kind] = true
		files[golden.Path(s.name())] = true
	}
	for kind := range machineMessages {
		if !kinds[kind] {
			t.Errorf("message %q has no sample", kind)
		}
	}
	for _, kind := range []string{
		msgIDChange, msgClaimID, msgClaimIDReply, msgUsage, msgCordon, msgCordonReply, msgKill, msgBye, msgBGP,
		msgTicketClaim,
		msgTicketClaimReply, msgTickets, msgConfiguration,
	} {
		if !kinds[kind] {
			t.Errorf("message %q has no sample", kind)
		}
	}
	found, err := filepath.Glob("testdata/golden/upgrade/*/*.json")
	if err != nil || len(found) != len(files) {
		t.Errorf("%d golden files for %d samples, %v", len(found), len(files), err)
	}
	for _, path := range found {
		if !files[path] {
			t.Errorf("%s has no sample", path)
		}
	}
}

// Each field of a message names itself in a tag, so that the name in the code can change.
func TestMessageFieldsHaveTags(t *testing.T) {
	encoded := []any{hotrestartipc.Message{}}
	for _, s := range messageSamples() {
		if s.body != nil {
			encoded = append(encoded, s.body)
		}
	}
	golden.AllFieldsTagged(t, "json", encoded...)
}
