package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	// readyTimeout is how long a router may take until it answers COM_PING.
	readyTimeout = 30 * time.Second
	// endTimeout is how long a router may take to end after SIGTERM, before it is killed.
	endTimeout = 10 * time.Second
)

// world holds the processes, stand-ins and the temporary folder of a case.
type world struct {
	rec     *record
	dir     string
	board   *board
	engines []*engine
	router  *exec.Cmd
	ended   chan struct{} // closed when the router has ended
	// memoryMB is the memory limit in the router's configuration.
	memoryMB int
	listen   string // address at which the router serves the MySQL protocol
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	return &world{rec: rec, dir: dir, memoryMB: 192}, nil
}

// close ends the router and the stand-ins, and removes the temporary folder.
func (w *world) close() {
	w.stopRouter()
	if w.board != nil {
		w.board.close()
	}
	for _, e := range w.engines {
		e.close()
	}
	_ = os.RemoveAll(w.dir)
}

// addEngines starts engines whose statements take as long as work says.
func (w *world) addEngines(count int, work func(query) time.Duration) error {
	for i := range count {
		e, err := newEngine(w.rec, uint32(i+1), work)
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
	}
	return nil
}

// startBoard starts the notice board with the list of all engines as event 1. What it sends arrives after delay.
func (w *world) startBoard(delay time.Duration) (err error) {
	w.board, err = newBoard(w.rec, delay)
	if err != nil {
		return err
	}
	records := make([]boardRecord, 0, len(w.engines))
	for _, e := range w.engines {
		records = append(records, boardRecord{id: e.id, port: e.port})
	}
	w.board.publish(frameComplete, records...)
	return nil
}

// startRouter starts a router by the run line of the deploy file, with further arguments if there are any, and waits
// until it answers COM_PING.
func (w *world) startRouter(arguments string) error {
	port, err := freePort()
	if err != nil {
		return err
	}
	w.listen = fmt.Sprintf("127.0.0.1:%d", port)
	config := filepath.Join(w.dir, "config.json")
	if err := w.writeJSON(config, w.configuration()); err != nil {
		return err
	}
	runLine, err := deployRunLine()
	if err != nil {
		return err
	}
	temporary := filepath.Join(w.dir, "tmp")
	if err := os.Mkdir(temporary, 0o700); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, "router.log"))
	if err != nil {
		return err
	}
	w.router = exec.Command("/bin/sh", "-c", runLine+" "+arguments)
	w.router.Stdout, w.router.Stderr = log, log
	w.router.Env = append(os.Environ(), "PROXY_NAME=n0", "PROXY_LISTEN="+w.listen, "PROXY_CONFIG="+config,
		"TMPDIR="+temporary)
	err = w.router.Start()
	_ = log.Close()
	if err != nil {
		w.router = nil
		return err
	}
	w.ended = make(chan struct{})
	go func() {
		_ = w.router.Wait()
		close(w.ended)
	}()
	w.rec.printf("router started: %s %s, listens at %s", runLine, arguments, w.listen)
	return w.awaitReady()
}

// awaitReady waits until the router answers COM_PING.
func (w *world) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if w.crashed() {
			return errors.New("the router ended during its start: " + w.logTail())
		}
		c, err := dialClient(w.listen)
		if err != nil {
			continue
		}
		err = c.ping()
		c.close()
		if err == nil {
			w.rec.printf("router ready")
			return nil
		}
	}
	return errors.New("the router was not ready in time: " + w.logTail())
}

// crashed reports whether the router has ended.
func (w *world) crashed() bool {
	select {
	case <-w.ended:
		return true
	default:
		return false
	}
}

// logTail returns the end of the router's log.
func (w *world) logTail() string {
	text := w.log()
	return text[max(0, len(text)-2000):]
}

// log returns the router's log.
func (w *world) log() string {
	text, _ := os.ReadFile(filepath.Join(w.dir, "router.log"))
	return string(text)
}

// stopRouter ends the router with SIGTERM, and with SIGKILL if that does not suffice.
func (w *world) stopRouter() {
	if w.router == nil {
		return
	}
	_ = w.router.Process.Signal(syscall.SIGTERM)
	select {
	case <-w.ended:
	case <-time.After(endTimeout):
		_ = w.router.Process.Kill()
		<-w.ended
	}
	w.rec.printf("router ended")
	w.router = nil
}

func (w *world) writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

var runLinePattern = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// deployRunLine returns the command that starts a router, from the deploy file.
func deployRunLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := runLinePattern.FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no run line")
	}
	return strings.TrimSpace(string(match[1])), nil
}

// freePort returns a port of 127.0.0.1 on which nothing listens.
func freePort() (int, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer lis.Close()
	return lis.Addr().(*net.TCPAddr).Port, nil
}
