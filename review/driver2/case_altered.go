package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
)

// alteredQueries is the number of queries that the client sends.
const alteredQueries = 5

// playAltered has a client of the MySQL protocol query an engine that has moved to Flight SQL and gives a column of text
// as binary. The rows that are served have to be the engine's. Without the disruption the column is of type utf8.
func playAltered(stage *world) error {
	noteType := arrow.DataType(arrow.BinaryTypes.Binary)
	if !trouble() {
		noteType = arrow.BinaryTypes.String
	}
	if _, err := stage.startFlight(noteType, 0); err != nil {
		return err
	}
	return stage.compareRows()
}

// compareRows sends queries and compares the rows that are served with the engine's.
func (w *world) compareRows() error {
	session, err := dialClient(w.listen)
	if err != nil {
		return err
	}
	defer session.close()
	want, served, altered := strings.Join(flightRow, " "), 0, 0
	for range alteredQueries {
		req := request{id: newRequestID(), class: "lookup", budget: 5 * time.Second, estimate: 50 * time.Millisecond}
		if err := session.write(command(req.text())); err != nil {
			return err
		}
		got, err := session.readAnswer()
		if err != nil {
			return err
		}
		w.rec.printf("client: %s: %v %q", req.id, got, got.rows)
		if got.code != 0 {
			continue // refused or failed, not altered
		}
		served++
		if len(got.rows) != 1 || got.rows[0] != want {
			altered++
		}
	}
	if altered > 0 {
		return fmt.Errorf("%w: %d of %d results that were served are not what the engine made", errBroken, altered, served)
	}
	if !trouble() && served == 0 {
		return fmt.Errorf("no query was served")
	}
	return nil
}
