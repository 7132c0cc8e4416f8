package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// readyTimeout is the time in which a router has to be ready, from the standing test's page.
const readyTimeout = 30 * time.Second

// router is a process of a router, started as the deploy file says.
type router struct {
	label string
	cmd   *exec.Cmd
	admin string
	ended chan struct{}
	rec   *recorder
}

// site holds what the processes of one router share.
type site struct {
	rec    *recorder
	dir    string // temporary folder
	temp   string // $TMPDIR of the processes that are started from now on
	config string // path of the platform's configuration
	listen string
	// settings is the path of the installation's settings; empty for none.
	settings string
	notices  *board
	others   []*router
}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// newSite writes the configuration of a small deployment: that of deploy/example.json, with these engines and this
// board.
func newSite(rec *recorder, boardAddr string, engines []*engine) (*site, error) {
	text, err := os.ReadFile("deploy/example.json")
	if err != nil {
		return nil, err
	}
	config := map[string]any{}
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	made := &site{rec: rec, dir: dir, temp: dir, config: filepath.Join(dir, "config.json")}
	if made.listen, err = freeAddr(); err != nil {
		return nil, err
	}
	config["listen"], config["board"], config["known"] = made.listen, boardAddr, knownEvents(engines)
	rules := config["settings"].(map[string]any)["rules"].(map[string]any)
	rules["answer-slack-ns"], rules["drain-grace-ns"] = 20_000_000, drainGrace.Nanoseconds()
	if text, err = json.Marshal(config); err != nil {
		return nil, err
	}
	return made, os.WriteFile(made.config, text, 0o600)
}

// newPlace starts a board and makes a site with it.
func newPlace(rec *recorder, engines []*engine) (*site, error) {
	notices, err := startBoard(rec)
	if err != nil {
		return nil, err
	}
	made, err := newSite(rec, notices.addr, engines)
	if err != nil {
		return nil, err
	}
	made.notices = notices
	return made, nil
}

// startReady starts a process of the router and waits until it is ready.
func (s *site) startReady(label string) (*router, error) {
	started, err := s.start(label)
	if err != nil {
		return nil, err
	}
	return started, started.awaitReady()
}

// start starts a process of the router.
func (s *site) start(label string) (*router, error) {
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, label+".log"))
	if err != nil {
		return nil, err
	}
	command := "exec bin/windflow" // run, in the deploy file
	if s.settings != "" {
		command += " --settings " + s.settings
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+s.config, "PROXY_CONTROL="+admin, "TMPDIR="+s.temp)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s.rec.started(cmd.Process)
	started := &router{label: label, cmd: cmd, admin: admin, ended: make(chan struct{}), rec: s.rec}
	s.others = append(s.others, started)
	s.rec.note("router %s: started", label)
	go func() {
		err := cmd.Wait()
		s.rec.note("router %s: ended: %v", label, err)
		_ = log.Close()
		close(started.ended)
	}()
	return started, nil
}

// awaitReady waits until the process says that it is ready.
func (r *router) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		select {
		case <-r.ended:
			return fmt.Errorf("router %s has ended before it was ready", r.label)
		default:
		}
		reply, err := client.Get("http://" + r.admin + "/api/ready")
		if err != nil {
			continue
		}
		_ = reply.Body.Close()
		if reply.StatusCode == http.StatusOK {
			r.rec.note("router %s: ready", r.label)
			return nil
		}
	}
	return errors.New("router " + r.label + " was not ready in time")
}

func (r *router) signal(signal syscall.Signal) {
	r.rec.note("router %s: %v", r.label, signal)
	_ = r.cmd.Process.Signal(signal)
}

// stop kills all processes that are left and removes the temporary folder. The processes' logs go into the record.
func (s *site) stop() {
	for _, other := range s.others {
		_ = other.cmd.Process.Signal(syscall.SIGCONT)
		_ = other.cmd.Process.Kill()
		<-other.ended
	}
	for _, other := range s.others {
		text, _ := os.ReadFile(filepath.Join(s.dir, other.label+".log"))
		s.rec.note("log of router %s:\n%s", other.label, text)
	}
	_ = os.RemoveAll(s.dir)
}
