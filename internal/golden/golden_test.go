package golden

import (
	"os"
	"testing"
)

// failure is a testing.TB that notes whether a check failed. A fatal one panics with it, as the check must not
// continue.
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

// fails reports whether a check fails.
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

// setRecording sets the flag for the duration of a test.
func setRecording(t *testing.T, recording bool) {
	t.Helper()
	before := *record
	t.Cleanup(func() { *record = before })
	*record = recording
}

// A golden file that differs or does not exist fails the test; recording writes one that does not exist and leaves an
// existing one as it is.
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
		t.Error("a golden file that does not exist passes")
	}
	*record = true
	for range 2 {
		if equalFails("one") {
			t.Error("a file can't be recorded")
		}
	}
	for _, recording := range []bool{true, false} {
		*record = recording
		if !equalFails("two") || !equalFails("two\x00") {
			t.Errorf("another content passes, recording %v", recording)
		}
	}
	if text, err := os.ReadFile(Path(name)); err != nil || string(text) != "one" {
		t.Errorf("the file contains %q, %v", text, err)
	}
}

// A golden file is recorded on request only, and Write never overwrites one.
func TestRecordingNeedsFlagAndMissingFile(t *testing.T) {
	t.Chdir(t.TempDir())
	setRecording(t, false)
	if Recording(t, "a") {
		t.Error("records without the flag")
	}
	*record = true
	if !Recording(t, "a") {
		t.Error("does not record a file that does not exist")
	}
	Equal(t, "a", []byte("first"))
	if Recording(t, "a") {
		t.Error("records a file that exists")
	}
	overwriteFails := fails(t, func(tb testing.TB) {
		tb.Helper()
		Write(tb, "a", []byte("second"))
	})
	if !overwriteFails {
		t.Error("overwrites a file that exists")
	}
	if content, err := os.ReadFile(Path("a")); err != nil || string(content) != "first" {
		t.Error(string(content), err)
	}
}

// An archive has the content of its folder.
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
		t.Errorf("%q, %v", content, err)
	}
}
