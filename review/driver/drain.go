package main

import (
	"fmt"
	"time"
)

// drainBroken returns a line for the statements that arrived at a draining engine after the limit.
func drainBroken(rec *recorder, drained *engine, told, limit time.Time) (broken []string) {
	late, total := 0, 0
	var firstLate post
	for _, arrived := range rec.arrived() {
		if arrived.engine != drained.name() || !arrived.at.After(told) {
			continue
		}
		total++
		if arrived.at.After(limit) {
			if late == 0 {
				firstLate = arrived
			}
			late++
		}
	}
	rec.note("%d statements at the draining engine after its notice, %d after the limit", total, late)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("drain: %d statements reached %s, the first %s %s %.2f s after the notice that it drains",
		late, drained.name(), firstLate.class, firstLate.id, firstLate.at.Sub(told).Seconds())}
}
