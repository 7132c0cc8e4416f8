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
		part := r.pieceFrom(from)
		if d := to - from; d < part.length {
			if !math.IsInf(part.length, 1) {
				part.end = part.start + (part.end-part.start)*d/part.length
			}
			return quanta + (part.start+part.end)/2*d/msPerSecond
		}
		quanta += (part.start + part.end) / 2 * part.length / msPerSecond
		from += part.length
	}
	return quanta
}

// timeOf returns when so many quanta have come due since another time: infinity for never.
func (r *Rate) timeOf(from, quanta float64) float64 {
	left := quanta * msPerSecond
	for {
		part := r.pieceFrom(from)
		if math.IsInf(part.length, 1) {
			if part.start <= 0 {
				return part.length
			}
			return from + left/part.start
		}
		if area := (part.start + part.end) / 2 * part.length; area < left {
			left -= area
			from += part.length
			continue
		}
		return from + part.timeOf(left)
	}
}

// timeOf returns after how many milliseconds of the piece so much has come due, in thousandths of a quantum.
func (p piece) timeOf(amount float64) float64 {
	slope := (p.end - p.start) / p.length
	root := p.start + math.Sqrt(max(p.start*p.start+2*slope*amount, 0))
	if root <= 0 {
		return 0
	}
	return min(2*amount/root, p.length)
}
