package golden

import (
	"os"
	"testing"
)

// failureRecorder is a testing.TB that records whether a check failed. Fatal panics with the recorder, because the
// check must not continue after it.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (f *failureRecorder) Helper()               {}
func (f *failureRecorder) Error(...any)          { f.failed = true }
func (f *failureRecorder) Errorf(string, ...any) { f.failed = true }
func (f *failureRecorder) Fatal(...any) {
	f.failed = true
	panic(f)
}

// fails reports whether check fails the test that it is called with.
func fails(t *testing.T, check func(testing.TB)) (failed bool) {
	t.Helper()
	recorder := &failureRecorder{TB: t}
	defer func() {
		if recovered := recover(); recovered != nil && recovered != any(recorder) {
			panic(recovered)
		}
		failed = recorder.failed
	}()
	check(recorder)
	return recorder.failed
}

// setRecording sets the flag -golden.record until the end of the test.
func setRecording(t *testing.T, recording bool) {
	t.Helper()
	before := *record
	t.Cleanup(func() { *record = before })
	*record = recording
}

// A golden file that differs or does not exist fails the test. Recording writes a file that does not exist and does
// not change an existing one.
func TestGoldenFileIsNeverOverwritten(t *testing.T) {
	t.Chdir(t.TempDir())
	const name = "folder/form.json"
	equalFails := func(text string) bool {
		return fails(t, func(tb testing.TB) {
			tb.Helper()
			Equal(tb, name, []byte(text))
		})
	}
	setRecording(t, false)
	if !equalFails("one") {
		t.Error("a golden file that does not exist does not fail the test")
	}
	*record = true
	for range 2 {
		if equalFails("one") {
			t.Error("a golden file that does not exist is not recorded, or fails after recording")
		}
	}
	for _, recording := range []bool{true, false} {
		*record = recording
		if !equalFails("two") || !equalFails("two\x00") {
			t.Errorf("different content does not fail the test; recording: %v", recording)
		}
	}
	if text, err := os.ReadFile(Path(name)); err != nil || string(text) != "one" {
		t.Errorf("the golden file contains %q, error %v; want its first content", text, err)
	}
}

// A golden file is recorded only if the flag is set and the file does not exist, and Write never overwrites a file.
func TestRecordingNeedsFlagAndMissingFile(t *testing.T) {
	t.Chdir(t.TempDir())
	setRecording(t, false)
	if Recording(t, "a") {
		t.Error("Recording reports true without the flag")
	}
	*record = true
	if !Recording(t, "a") {
		t.Error("Recording reports false for a file that does not exist")
	}
	Equal(t, "a", []byte("first"))
	if Recording(t, "a") {
		t.Error("Recording reports true for a file that exists")
	}
	overwriteFails := fails(t, func(tb testing.TB) {
		tb.Helper()
		Write(tb, "a", []byte("second"))
	})
	if !overwriteFails {
		t.Error("Write does not fail for a file that exists")
	}
	if content, err := os.ReadFile(Path("a")); err != nil || string(content) != "first" {
		t.Errorf("the golden file contains %q, error %v; want %q", content, err, "first")
	}
}

// Unpacking a packed folder restores the content of its files.
func TestArchiveRoundTrip(t *testing.T) {
	dir := t.TempDir()
	if err := os.MkdirAll(dir+"/sub", 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir+"/sub/file", []byte("content"), 0o600); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(Unpack(t, Pack(t, dir)) + "/sub/file")
	if err != nil || string(content) != "content" {
		t.Errorf("the unpacked file contains %q, error %v; want %q", content, err, "content")
	}
}
