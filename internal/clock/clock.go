// Package clock is the program's only source of time. Times are float64 milliseconds since the Unix epoch; they are
// converted to a time.Duration only for the dispatch module.
package clock

import "time"

// Clock returns the time in milliseconds since the Unix epoch.
type Clock interface{ Now() float64 }

// System is the machine's clock. It reads the wall clock once, in NewSystem, and the monotonic clock after that, so
// that an adjustment of the wall clock never moves a deadline.
type System struct{ start time.Time }

// NewSystem returns a clock that starts at the current wall-clock time.
func NewSystem() *System { return &System{start: time.Now()} }

// Now implements Clock.
func (s *System) Now() float64 {
	return float64(s.start.UnixMicro())/1e3 + float64(time.Since(s.start))/float64(time.Millisecond)
}

// Manual is a clock for tests, which set its time in milliseconds.
type Manual struct{ MS float64 }

// Now implements Clock.
func (m *Manual) Now() float64 { return m.MS }

// Duration converts milliseconds to a time.Duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis converts a time.Duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
