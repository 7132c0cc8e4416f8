package hotrestartipc

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/tools/txtar"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/golden"
)

const (
	goldenFolder = "folder.txtar"
	goldenRouter = "n0 127.0.0.1:3306"
)

// shortFolder returns an empty folder whose path is short enough for a Unix socket.
func shortFolder(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "wf")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

func acquireGoldenSlot(t *testing.T, dir string) *ProcessSlot {
	t.Helper()
	p, err := AcquireSlot(dir, goldenRouter)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// setCordon stores a cordon, or its end.
func setCordon(t *testing.T, p *ProcessSlot, engine string, cordoned bool) {
	t.Helper()
	if err := p.SetCordon(engine, cordoned); err != nil {
		t.Fatal(err)
	}
}

// listFolder returns the files below a folder, each named "PATH MODE", with their content.
func listFolder(t *testing.T, dir string) []txtar.File {
	t.Helper()
	var files []txtar.File
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || path == dir {
			return err
		}
		info, err := d.Info()
		if err != nil {
			return err
		}
		var text []byte
		if info.Mode().IsRegular() {
			if text, err = os.ReadFile(path); err != nil {
				return err
			}
		}
		name, err := filepath.Rel(dir, path)
		files = append(files, txtar.File{Name: fmt.Sprintf("%s %v", name, info.Mode()), Data: text})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// Two processes acquire slots and store cordons, and leave the recorded files, byte for byte and with the same modes.
func TestGoldenFolderIsWritten(t *testing.T) {
	dir := shortFolder(t)
	first := acquireGoldenSlot(t, dir)
	setCordon(t, first, "s-00000002", true)
	setCordon(t, first, "s-00000003", true)
	setCordon(t, first, "s-00000003", false)
	second := acquireGoldenSlot(t, dir)
	setCordon(t, second, "s-00c41f7a", true)
	if err := second.PublishToLegacy(); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, goldenFolder, txtar.Format(&txtar.Archive{Files: listFolder(t, dir)}))
}

// restoreFolder writes the regular files of the recorded folder, and locks those of the living processes, as they do
// themselves.
func restoreFolder(t *testing.T, dir string, living ...hotrestart.ProcessNumber) {
	t.Helper()
	archive, err := txtar.ParseFile(golden.Path(goldenFolder))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		name, mode, _ := strings.Cut(f.Name, " ")
		path := filepath.Join(dir, name)
		switch mode[0] {
		case 'd':
			err = os.Mkdir(path, 0o700)
		case '-':
			err = os.WriteFile(path, f.Data, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, process := range living {
		holdLock(t, dir, process)
	}
}

func holdLock(t *testing.T, dir string, process hotrestart.ProcessNumber) {
	t.Helper()
	path, err := SocketPath(dir, goldenRouter)
	if err != nil {
		t.Fatal(err)
	}
	lock, err := os.OpenFile(fmt.Sprintf("%s.%d.lock", strings.TrimSuffix(path, ".sock"), process), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lock.Close() })
	if err := flock(lock, syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
}

// A process that finds the recorded folder acquires the next slot, knows who lives, and reads the cordons.
func TestGoldenFolderIsRead(t *testing.T) {
	dir := shortFolder(t)
	restoreFolder(t, dir, hotrestart.FirstProcess+1)
	p := acquireGoldenSlot(t, dir)
	if p.Process != hotrestart.FirstProcess+2 || p.Predecessor() != hotrestart.FirstProcess+1 ||
		p.Alive(hotrestart.FirstProcess) {
		t.Errorf("process %d, after %d, the first lives: %v", p.Process, p.Predecessor(), p.Alive(hotrestart.FirstProcess))
	}
	got, err := p.Cordoned()
	if want := []string{"s-00000002", "s-00c41f7a"}; err != nil || !slices.Equal(got, want) {
		t.Errorf("cordoned are %q, %v, not %q", got, err, want)
	}
}

// Where no process of the recorded folder lives, its cordons end and its numbers are not used again.
func TestGoldenFolderOfEndedProcesses(t *testing.T) {
	dir := shortFolder(t)
	restoreFolder(t, dir)
	p := acquireGoldenSlot(t, dir)
	if p.Process != hotrestart.FirstProcess+2 || p.Predecessor() != hotrestart.NoProcess {
		t.Errorf("process %d, after %d", p.Process, p.Predecessor())
	}
	if got, err := p.Cordoned(); err != nil || len(got) > 0 {
		t.Errorf("cordoned are %q, %v", got, err)
	}
}

// The roster alone keeps a number from being used again.
func TestGoldenCounterFileIsRead(t *testing.T) {
	dir := shortFolder(t)
	restoreFolder(t, dir)
	locks, err := filepath.Glob(filepath.Join(dir, "*.lock"))
	if err != nil || len(locks) != 2 {
		t.Fatal(locks, err)
	}
	for _, lock := range locks {
		if err := os.Remove(lock); err != nil {
			t.Fatal(err)
		}
	}
	if p := acquireGoldenSlot(t, dir); p.Process != hotrestart.FirstProcess+2 {
		t.Errorf("process %d", p.Process)
	}
}
