package slowstart

import "math"

// Rate is how many chunks a second come due to a party, over time: straight between its points, level before the first and
// after the last. Points are in order of time, in milliseconds; rates are not below 0. The zero Flow is none at all.
type Rate struct {
	points [flowPoints]point
	n      int
}

// flowPoints is what a flow has at most: where it sets in, where its slope changes, and where it levels off.
const flowPoints = 4

type point struct{ at, rate float64 }

// WithPoint adds a point, no earlier than the last one; a rate below 0, or that is no number, counts as 0. A flow has four points at
// most: further ones are not taken.
func (f Rate) WithPoint(at, rate float64) Rate {
	if f.n < flowPoints {
		if !(rate > 0) {
			rate = 0
		}
		f.points[f.n] = point{at, rate}
		f.n++
	}
	return f
}

// next gives the piece of the flow that a time lies in, from that time on: its rates at both ends and how long it lasts.
func (f *Rate) next(from float64) (rate, then, lasts float64) {
	if f.n == 0 {
		return 0, 0, math.Inf(1)
	}
	first, last := f.points[0], f.points[f.n-1]
	if from < first.at {
		return first.rate, first.rate, first.at - from
	}
	if from >= last.at {
		return last.rate, last.rate, math.Inf(1)
	}
	for i := 1; ; i++ {
		a, b := f.points[i-1], f.points[i]
		if from < b.at {
			return a.rate + (b.rate-a.rate)*(from-a.at)/(b.at-a.at), b.rate, b.at - from
		}
	}
}

// sum gives how many chunks come due between two times.
func (f *Rate) sum(from, to float64) (chunks float64) {
	for from < to {
		rate, then, lasts := f.next(from)
		if d := to - from; d < lasts {
			if !math.IsInf(lasts, 1) {
				then = rate + (then-rate)*d/lasts
			}
			return chunks + (rate+then)/2*d/1000
		}
		chunks += (rate + then) / 2 * lasts / 1000
		from += lasts
	}
	return chunks
}

// when gives the time at which that many chunks have come due since another one: infinite for never.
func (f *Rate) when(from, chunks float64) float64 {
	left := chunks * 1000
	for {
		rate, then, lasts := f.next(from)
		if math.IsInf(lasts, 1) {
			if rate <= 0 {
				return lasts
			}
			return from + left/rate
		}
		if area := (rate + then) / 2 * lasts; area < left {
			left -= area
			from += lasts
			continue
		}
		slope := (then - rate) / lasts
		root := rate + math.Sqrt(max(rate*rate+2*slope*left, 0))
		if root <= 0 {
			return from
		}
		return from + min(2*left/root, lasts)
	}
}
