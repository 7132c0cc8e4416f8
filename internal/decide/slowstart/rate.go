package slowstart

import "math"

const (
	// maxPoints bounds the points of a rate: where it sets in, where its slope changes twice, and where it levels off.
	maxPoints = 4
	// msPerSecond converts times, which are in milliseconds, for rates, which are per second.
	msPerSecond = 1000
)

// Rate is how many quanta a second a router receives, over time: piecewise linear between its points, constant before
// the first and after the last one. The points are in order of time, and no rate is below 0. The zero Rate is 0 at all
// times.
type Rate struct {
	points [maxPoints]point
	n      int
}

// point is the rate at one time, in milliseconds.
type point struct{ at, rate float64 }

// piece is the part of a rate from some time to its next point.
type piece struct {
	start, end float64 // the rates at both ends
	length     float64 // in milliseconds; infinite after the last point
}

// WithPoint returns the rate with one more point, no earlier than the last one. A rate below 0, or NaN, counts as 0.
// Points beyond four are ignored.
func (r Rate) WithPoint(at, rate float64) Rate {
	if r.n < maxPoints {
		if !(rate > 0) {
			rate = 0
		}
		r.points[r.n] = point{at, rate}
		r.n++
	}
	return r
}

// pieceFrom returns the piece that a time lies in, from that time on.
func (r *Rate) pieceFrom(from float64) piece {
	if r.n == 0 {
		return piece{0, 0, math.Inf(1)}
	}
	first, last := r.points[0], r.points[r.n-1]
	if from < first.at {
		return piece{first.rate, first.rate, first.at - from}
	}
	if from >= last.at {
		return piece{last.rate, last.rate, math.Inf(1)}
	}
	for i := 1; ; i++ {
		a, b := r.points[i-1], r.points[i]
		if from < b.at {
			return piece{a.rate + (b.rate-a.rate)*(from-a.at)/(b.at-a.at), b.rate, b.at - from}
		}
	}
}

// integral returns how many quanta come due between two times.
func (r *Rate) integral(from, to float64) (quanta float64) {
	for from < to {
		p := r.pieceFrom(from)
		if d := to - from; d < p.length {
			if !math.IsInf(p.length, 1) {
				p.end = p.start + (p.end-p.start)*d/p.length
			}
			return quanta + (p.start+p.end)/2*d/msPerSecond
		}
		quanta += (p.start + p.end) / 2 * p.length / msPerSecond
		from += p.length
	}
	return quanta
}

// timeOf returns when so many quanta have come due since another time: infinity for never.
func (r *Rate) timeOf(from, quanta float64) float64 {
	left := quanta * msPerSecond
	for {
		p := r.pieceFrom(from)
		if math.IsInf(p.length, 1) {
			if p.start <= 0 {
				return p.length
			}
			return from + left/p.start
		}
		if area := (p.start + p.end) / 2 * p.length; area < left {
			left -= area
			from += p.length
			continue
		}
		slope := (p.end - p.start) / p.length
		root := p.start + math.Sqrt(max(p.start*p.start+2*slope*left, 0))
		if root <= 0 {
			return from
		}
		return from + min(2*left/root, p.length)
	}
}
