package slowstart

import "math"

const (
	// maxPoints limits the points of a rate: one where it starts, two where its slope changes, and one where it
	// becomes constant.
	maxPoints = 4
	// msPerSecond relates times, which are in milliseconds, to rates, which are per second.
	msPerSecond = 1000
)

// Rate is the number of quanta per second that a router receives, as a function of time: linear between its points,
// constant before the first point and after the last one. The points are in order of time, and no rate is below 0. The
// zero Rate is 0 at all times.
type Rate struct {
	points [maxPoints]point
	n      int
}

// point is the rate, in quanta per second, at a time in milliseconds.
type point struct{ at, rate float64 }

// segment is the part of a rate from some time to the next point.
type segment struct {
	start, end float64 // rates at both ends
	length     float64 // in milliseconds; infinite after the last point
}

// WithPoint returns the rate with one more point, which must not be earlier than the last one. A rate below 0, or NaN,
// counts as 0. A rate holds four points; further ones are ignored.
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

// segmentFrom returns the rest of the segment that contains the time from, beginning at this time.
func (r *Rate) segmentFrom(from float64) segment {
	if r.n == 0 {
		return segment{0, 0, math.Inf(1)}
	}
	first, last := r.points[0], r.points[r.n-1]
	if from < first.at {
		return segment{first.rate, first.rate, first.at - from}
	}
	if from >= last.at {
		return segment{last.rate, last.rate, math.Inf(1)}
	}
	for i := 1; ; i++ {
		a, b := r.points[i-1], r.points[i]
		if from < b.at {
			return segment{a.rate + (b.rate-a.rate)*(from-a.at)/(b.at-a.at), b.rate, b.at - from}
		}
	}
}

// integral returns the number of quanta, including fractions, that accumulate between two times.
func (r *Rate) integral(from, to float64) (quanta float64) {
	for from < to {
		seg := r.segmentFrom(from)
		if d := to - from; d < seg.length {
			if !math.IsInf(seg.length, 1) {
				seg.end = seg.start + (seg.end-seg.start)*d/seg.length
			}
			return quanta + (seg.start+seg.end)/2*d/msPerSecond
		}
		quanta += (seg.start + seg.end) / 2 * seg.length / msPerSecond
		from += seg.length
	}
	return quanta
}

// dueAt returns when the given number of quanta has accumulated since the time from; +Inf for never.
func (r *Rate) dueAt(from, quanta float64) float64 {
	left := quanta * msPerSecond
	for {
		seg := r.segmentFrom(from)
		if math.IsInf(seg.length, 1) {
			if seg.start <= 0 {
				return seg.length
			}
			return from + left/seg.start
		}
		if area := (seg.start + seg.end) / 2 * seg.length; area < left {
			left -= area
			from += seg.length
			continue
		}
		return from + seg.timeToAccrue(left)
	}
}

// timeToAccrue returns after how many milliseconds of the segment an amount, in thousandths of a quantum, has
// accumulated.
func (s segment) timeToAccrue(amount float64) float64 {
	slope := (s.end - s.start) / s.length
	root := s.start + math.Sqrt(max(s.start*s.start+2*slope*amount, 0))
	if root <= 0 {
		return 0
	}
	return min(2*amount/root, s.length)
}
