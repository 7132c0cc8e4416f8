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

// replaceSleep replaces the sleep of retry for the test. Instead of a pause, onPause is called with the number of the
// pause, from 1. It returns a pointer to the number of pauses so far.
func replaceSleep(t *testing.T, onPause func(n int)) *int {
	t.Helper()
	n := 0
	sleep = func(time.Duration) { n++; onPause(n) }
	t.Cleanup(func() { sleep = time.Sleep })
	return &n
}

// A configuration that is missing or incomplete, as while it is being replaced, is read again until it is complete. A
// complete one with an invalid field is rejected at once.
func TestReadConfigWaitsForCompleteFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	n := replaceSleep(t, func(n int) {
		switch n {
		case 1: // until now the file did not exist
			if err := os.WriteFile(path, []byte(`{"name":"n0","listen":"127.0.0.1:0","bo`), 0o600); err != nil {
				t.Fatal(err)
			}
		case 2:
			writeConfig(t, path, "127.0.0.1:1")
		}
	})
	if cfg, _, err := readPlatform(path); err != nil || cfg.DiscoveryAddress != "127.0.0.1:1" || *n != 2 {
		t.Errorf("configuration %+v, error %v after %d pauses, want the complete file after 2", cfg, err, *n)
	}
	writeConfig(t, path, "nowhere")
	if _, _, err := readPlatform(path); err == nil || *n != 2 {
		t.Errorf("an invalid field: %v after %d pauses, want an error without a further pause", err, *n)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, _, err := readPlatform(path); err == nil || *n != 2+maxFileTries-1 {
		t.Errorf("no file: %v after %d pauses in all, want an error after the last try", err, *n)
	}
}

// A router that starts before the previous process has released the address retries until the address is free.
func TestStartWaitsForTheAddress(t *testing.T) {
	// No other test uses this host, so no other test can take the port when it is released.
	holder, err := net.Listen("tcp", "127.0.0.77:0")
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
		if n == 90 { // 4.5 s, longer than a draining process may hold the address
			_ = holder.Close()
		}
	})
	r, err := start(cfg, &installation.Settings{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatalf("start failed after %d pauses: %v", *n, err)
	}
	r.close()
	if *n < 90 {
		t.Errorf("started after %d pauses, want at least 90", *n)
	}
}
