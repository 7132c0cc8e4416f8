// Command review2 plays the cases 6 to 10 of the review: each starts routers as the platform does, with stand-ins for
// clients, engines and the notice board, and judges what these have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule was kept
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// timeLimit is how long a case may take, without the end of its processes.
const timeLimit = 100 * time.Second

// errBroken is wrapped by the error of a case whose rule was broken.
var errBroken = errors.New("rule broken")

// trouble reports whether the case brings about its disruption: TROUBLE=0 leaves it out.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases holds the cases by their names on the command line.
var cases = map[string]func(*world) error{
	"refusal":  playRefusal,
	"pipeline": playPipeline,
	"board":    playBoard,
	"overdue":  playOverdue,
	"flight":   playFlight,
	"altered":  playAltered,
	"gone":     playGone,
	"spoilt":   playSpoilt,
	"half":     playHalfClose,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "folder of the case, for record.txt")
	flag.Parse()
	os.Exit(run(*name, *dir))
}

// run plays a case and returns the exit code.
func run(name, dir string) int {
	play := cases[name]
	if play == nil || dir == "" {
		fmt.Fprintln(os.Stderr, "review2: -case and -dir are needed; no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "review2:", err)
		return exitNotRun
	}
	defer rec.close()
	rec.printf("case %s, disruption %v", name, trouble())
	stage, err := newWorld(rec)
	if err != nil {
		rec.verdict("could not run: %v", err)
		return exitNotRun
	}
	defer stage.close()
	switch err := playInTime(play, stage); {
	case err == nil:
		rec.verdict("held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.verdict("%v", err)
		return exitBroken
	default:
		rec.verdict("could not run: %v", err)
		return exitNotRun
	}
}

// playInTime plays a case, and gives it up after timeLimit or at a signal.
func playInTime(play func(*world) error, stage *world) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- play(stage) }()
	select {
	case err := <-ended:
		if !errors.Is(err, errBroken) && stage.router != nil && stage.crashed() {
			return fmt.Errorf("%w: the router ended: %s", errBroken, stage.logTail())
		}
		return err
	case <-time.After(timeLimit):
		return errors.New("the case took too long")
	case got := <-signals:
		return fmt.Errorf("signal: %v", got)
	}
}
