// Command review plays a case of the review: it starts routers as the deploy file says, with stand-ins for clients,
// engines and the notice board, and checks a rule of the pages by what these see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// mostTime is how long a case may run.
const mostTime = 115 * time.Second

// Figures of the rules, from the protocol page and the settings.
const (
	drainGrace  = time.Second            // rules.drain-grace-ns
	socketSlack = 50 * time.Millisecond  // each time limit is that much longer on sockets
	toldLatest  = 7 * time.Second        // a notice counts as told then at the latest
	goneGrace   = 100 * time.Millisecond // an attempt may begin that long after its client has gone
)

// play runs a case. trouble is false for the run without the disruption. It returns what broke the rule.
type play func(rec *recorder, trouble bool) (broken []string, err error)

var plays = map[string]play{
	"stale-list":     playStaleList,
	"stopped":        playStopped,
	"flight-exit":    playFlightExit,
	"tickets":        playTickets,
	"tickets-killed": playTicketsKilled,
}

func main() { os.Exit(execute(os.Args[1:])) }

func execute(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD, from the root of the repository")
		return exitNotRun
	}
	rec, err := newRecorder(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	go abortLate(rec)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption %v", args[0], trouble)
	broken, err := plays[args[0]](rec, trouble)
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	for _, text := range broken {
		rec.note("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.note("the rule held")
	fmt.Println("held")
	return exitHeld
}

// abortLate ends the case and all its processes after mostTime, or when this program is told to end.
func abortLate(rec *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(mostTime):
	}
	rec.note("the case was ended before it was over")
	rec.abort()
	os.Exit(exitNotRun)
}
