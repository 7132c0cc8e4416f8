package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// flightRestarts is the number of planned restarts in playFlightExit.
	flightRestarts = 8
	// reportPages is the number of pages of a report's result, 48,000 bytes.
	reportPages = 8
	// readPause is how long a client that is slow to read pauses.
	readPause = 1200 * time.Millisecond
	// lastSend is the time after SIGTERM until which requests come by the protocol page: 0.2 to 0.4 s, and 0.2 s more.
	// quietAfter leaves them some time to be sent.
	lastSend   = 600 * time.Millisecond
	quietAfter = 500 * time.Millisecond
	// reportAfter is the time after SIGTERM at which a report is sent.
	reportAfter = 300 * time.Millisecond
)

// playFlightExit: planned restarts of a router with Flight SQL clients. Some send one lookup after the other, until half
// a second after SIGTERM; in each restart one sends a report a moment after SIGTERM and is slow to read.
func playFlightExit(rec *recorder, trouble bool) (broken []string, err error) {
	engines, err := startEngines(rec, 3, fixedWork(150*time.Millisecond))
	if err != nil {
		return nil, err
	}
	for _, started := range engines {
		started.pagesFor = func(class string) int {
			if class == "report" {
				return reportPages
			}
			return 1
		}
	}
	place, err := newPlace(rec, engines)
	if err != nil {
		return nil, err
	}
	defer place.stop()
	addr, err := place.writeFlightSettings()
	if err != nil {
		return nil, err
	}
	current, err := place.startReady("router-0")
	if err != nil {
		return nil, err
	}
	callers := startFlightClients(rec, addr, 5)
	var signals []time.Time
	for i := range flightRestarts {
		time.Sleep(2500 * time.Millisecond)
		signals = append(signals, time.Now())
		if trouble {
			current.signal(syscall.SIGTERM)
		}
		callers.done.Go(func() {
			time.Sleep(reportAfter)
			callers.readSlowly(i, readPause)
		})
		time.Sleep(quietAfter)
		callers.quiet.Store(true)
		if trouble {
			<-current.ended
			if current, err = place.startReady(fmt.Sprintf("router-%d", i+1)); err != nil {
				return nil, err
			}
		}
		callers.quiet.Store(false)
	}
	time.Sleep(2 * time.Second)
	return unanswered(rec, callers.end(), signals), nil
}

// unanswered returns lines for the calls that a router had taken and forwarded to an engine, and that ended with the
// connection and without the whole answer.
func unanswered(rec *recorder, calls []flightCall, signals []time.Time) (broken []string) {
	forwarded := map[string]post{}
	for _, arrived := range rec.arrived() {
		forwarded[arrived.id] = arrived
	}
	lost := 0
	for _, call := range calls {
		taken, wasTaken := forwarded[call.id]
		if !wasTaken || !unavailable(call.err) {
			continue
		}
		after := sinceSignal(signals, call.sent)
		if after > lastSend {
			continue // a request that comes later than the page says is not judged
		}
		lost++
		rec.note("no whole answer: %s %s was sent %.3f s after SIGTERM and reached %s %.3f s later; after %.3f s its client "+
			"had %d rows and %q", call.class, call.id, after.Seconds(), taken.engine, taken.at.Sub(call.sent).Seconds(),
			call.ended.Sub(call.sent).Seconds(), call.rows, call.err)
	}
	rec.note("%d calls, %d without a whole answer", len(calls), lost)
	if lost == 0 {
		return nil
	}
	return []string{fmt.Sprintf("lost: %d requests were taken, forwarded and run, and got no whole answer, in %d planned "+
		"restarts", lost, len(signals))}
}

// sinceSignal returns the time from the latest signal before a moment, or a negative time if there is none.
func sinceSignal(signals []time.Time, at time.Time) time.Duration {
	since := time.Duration(-1)
	for _, signal := range signals {
		if at.After(signal) {
			since = at.Sub(signal)
		}
	}
	return since
}

// writeFlightSettings writes settings of the installation with a section for Flight SQL, and returns its address.
func (s *site) writeFlightSettings() (addr string, err error) {
	if addr, err = freeAddr(); err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]any{
		"flightsql": map[string]any{"listen": addr, "engine_kinds": []string{}, "max_connections": 32},
	})
	if err != nil {
		return "", err
	}
	s.settings = filepath.Join(s.dir, "windflow.json")
	return addr, os.WriteFile(s.settings, text, 0o600)
}
