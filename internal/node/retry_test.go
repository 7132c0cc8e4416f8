package node

import (
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"windflow/internal/installation"
	"windflow/internal/settings"
)

// replaceSleep replaces the sleep of retry for the test: between is called instead, with the number of the pause.
func replaceSleep(t *testing.T, onPause func(n int)) *int {
	t.Helper()
	n := 0
	sleep = func(time.Duration) { n++; onPause(n) }
	t.Cleanup(func() { sleep = time.Sleep })
	return &n
}

// A configuration that is being replaced is read once it is complete; one with a bad field is rejected at once.
func TestReadConfigWaitsForCompleteFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	n := replaceSleep(t, func(n int) {
		switch n {
		case 1: // so far there was none
			if err := os.WriteFile(path, []byte(`{"name":"n0","listen":"127.0.0.1:0","bo`), 0o600); err != nil {
				t.Fatal(err)
			}
		case 2:
			writeConfig(t, path, "127.0.0.1:1")
		}
	})
	if cfg, _, err := readPlatform(path); err != nil || cfg.DiscoveryAddress != "127.0.0.1:1" || *n != 2 {
		t.Errorf("%+v, %v after %d pauses", cfg, err, *n)
	}
	writeConfig(t, path, "nowhere")
	if _, _, err := readPlatform(path); err == nil || *n != 2 {
		t.Errorf("a bad field: %v after %d pauses", err, *n)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, _, err := readPlatform(path); err == nil || *n != 2+maxFileTries-1 {
		t.Errorf("no file at all: %v after %d pauses", err, *n)
	}
}

// A router that starts before the one it replaces has released its address waits for it.
func TestStartWaitsForTheAddress(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.77:0") // where no other test takes the port in between
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, "127.0.0.1:1")
	cfg, err := settings.ReadNode(path)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = holder.Addr().String()
	n := replaceSleep(t, func(n int) {
		if n == 90 { // 4.5 s: longer than one that drains may take
			_ = holder.Close()
		}
	})
	r, err := start(cfg, &installation.Settings{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatalf("%v after %d pauses", err, *n)
	}
	r.close()
	if *n < 90 {
		t.Errorf("%d pauses", *n)
	}
}
