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
	goldenFolder = "testdata/golden/folder.txtar"
	goldenRouter = "n0 127.0.0.1:3306"
)

// shortFolder gives an empty folder whose path is short enough for a Unix socket.
func shortFolder(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "wf")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

func takeGoldenPlace(t *testing.T, dir string) *ProcessSlot {
	t.Helper()
	p, err := AcquireSlot(dir, goldenRouter)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// ban has a ban noted, or its end.
func ban(t *testing.T, p *ProcessSlot, engine string, out bool) {
	t.Helper()
	if err := p.SetCordon(engine, out); err != nil {
		t.Fatal(err)
	}
}

// listFolder gives the files below a folder, each named "PATH MODE", with their content.
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

// Two processes take places and note bans, and leave the recorded files, byte for byte and with the same modes.
func TestGoldenFolderIsWritten(t *testing.T) {
	dir := shortFolder(t)
	first := takeGoldenPlace(t, dir)
	ban(t, first, "s-00000002", true)
	ban(t, first, "s-00000003", true)
	ban(t, first, "s-00000003", false)
	second := takeGoldenPlace(t, dir)
	ban(t, second, "s-00c41f7a", true)
	if err := second.PublishToLegacy(); err != nil {
		t.Fatal(err)
	}
	golden.File(t, goldenFolder, txtar.Format(&txtar.Archive{Files: listFolder(t, dir)}))
}

// restoreFolder writes the regular files of the recorded folder, and has those of the places given locked, as a living
// process has them.
func restoreFolder(t *testing.T, dir string, living ...hotrestart.ProcessNumber) {
	t.Helper()
	archive, err := txtar.ParseFile(goldenFolder)
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
	for _, peer := range living {
		holdLock(t, dir, peer)
	}
}

func holdLock(t *testing.T, dir string, peer hotrestart.ProcessNumber) {
	t.Helper()
	path, err := SocketPath(dir, goldenRouter)
	if err != nil {
		t.Fatal(err)
	}
	lock, err := os.OpenFile(fmt.Sprintf("%s.%d.lock", strings.TrimSuffix(path, ".sock"), peer), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lock.Close() })
	if err := flock(lock, syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
}

// A process that finds the recorded folder takes the next place, knows who lives, and reads the bans.
func TestGoldenFolderIsRead(t *testing.T) {
	dir := shortFolder(t)
	restoreFolder(t, dir, hotrestart.FirstProcess+1)
	p := takeGoldenPlace(t, dir)
	if p.Process != hotrestart.FirstProcess+2 || p.Predecessor() != hotrestart.FirstProcess+1 || p.Alive(hotrestart.FirstProcess) {
		t.Errorf("place %d, after %d, the first lives: %v", p.Process, p.Predecessor(), p.Alive(hotrestart.FirstProcess))
	}
	got, err := p.Cordoned()
	if want := []string{"s-00000002", "s-00c41f7a"}; err != nil || !slices.Equal(got, want) {
		t.Errorf("out are %q, %v, not %q", got, err, want)
	}
}

// Where nobody of the recorded folder lives, its bans end and its places are not given again.
func TestGoldenFolderOfTheDead(t *testing.T) {
	dir := shortFolder(t)
	restoreFolder(t, dir)
	p := takeGoldenPlace(t, dir)
	if p.Process != hotrestart.FirstProcess+2 || p.Predecessor() != hotrestart.NoProcess {
		t.Errorf("place %d, after %d", p.Process, p.Predecessor())
	}
	if got, err := p.Cordoned(); err != nil || len(got) > 0 {
		t.Errorf("out are %q, %v", got, err)
	}
}

// The roster alone keeps a place from being given again.
func TestGoldenRosterIsRead(t *testing.T) {
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
	if p := takeGoldenPlace(t, dir); p.Process != hotrestart.FirstProcess+2 {
		t.Errorf("place %d", p.Process)
	}
}
