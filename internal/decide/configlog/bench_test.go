package configlog

import (
	"encoding/json"
	"fmt"
	"testing"
)

// grown gives a log with so many parties, as a large site has them, put in changes of at most 5,000, and then 100
// changes of one each.
func grown(b *testing.B, entries int) *Log {
	b.Helper()
	l := NewLog(Retention{})
	for n := 0; n < entries; {
		c := Change{ID: fmt.Sprint("grow ", n), Put: map[string]json.RawMessage{}}
		for ; n < entries && len(c.Put) < 5000; n++ {
			c.Put[party(n)] = json.RawMessage(`{"quota-rps":100,"share":1}`)
		}
		l.made(b, c)
	}
	for i := range 100 {
		l.made(b, put(fmt.Sprint("one ", i), party(i%entries), fmt.Sprintf(`{"quota-rps":%d}`, i)))
	}
	return l
}

func party(n int) string { return fmt.Sprintf("%stenant-%05d", tenantsPath, n) }

func sizes(b *testing.B, run func(b *testing.B, l *Log, entries int)) {
	for _, entries := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			l := grown(b, entries)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, l, entries)
		})
	}
}

// One change of one entry.
func BenchmarkApply(b *testing.B) {
	sizes(b, func(b *testing.B, l *Log, entries int) {
		changes := make([]Change, b.N)
		for i := range changes {
			changes[i] = put(fmt.Sprint(i), party(i%entries), fmt.Sprintf(`{"quota-rps":%d}`, i))
		}
		b.ResetTimer()
		for _, c := range changes {
			if r := l.Apply(c); r.Err != nil {
				b.Fatal(r.Err)
			}
		}
	})
}

// What a follower gets that is one revision late.
func BenchmarkSinceDelta(b *testing.B) {
	sizes(b, func(b *testing.B, l *Log, entries int) {
		rev := l.Revision() - 1
		h, _ := l.history.hashAt(rev)
		for b.Loop() {
			if u := l.UpdateSince(rev, h); u.Snapshot || len(u.Put) != 1 {
				b.Fatal("no delta")
			}
		}
	})
}

// What a follower gets that is 1,000 revisions late, at 1,000 entries.
func BenchmarkSinceLate(b *testing.B) {
	l := grown(b, 1000)
	rev, h := l.Revision(), l.Hash()
	for i := range 1000 {
		l.made(b, put(fmt.Sprint("late ", i), party(i%400), fmt.Sprintf(`{"quota-rps":%d}`, i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		if u := l.UpdateSince(rev, h); u.Snapshot || len(u.Put) != 400 {
			b.Fatal("no delta")
		}
	}
}

// What a follower gets that has nothing.
func BenchmarkSinceSnapshot(b *testing.B) {
	sizes(b, func(b *testing.B, l *Log, entries int) {
		for b.Loop() {
			if u := l.UpdateSince(0, Hash{1}); !u.Snapshot || len(u.Put) != entries {
				b.Fatal("no snapshot")
			}
		}
	})
}

// The hash that is kept, as Apply leaves it, and the whole reckoned anew, as a follower does with a snapshot.
func BenchmarkHash(b *testing.B) {
	b.Run("kept", func(b *testing.B) {
		sizes(b, func(b *testing.B, l *Log, entries int) {
			for b.Loop() {
				if l.Hash() == (Hash{}) {
					b.Fatal("no hash")
				}
			}
		})
	})
	b.Run("anew", func(b *testing.B) {
		sizes(b, func(b *testing.B, l *Log, entries int) {
			for b.Loop() {
				if HashEntries(l.document.entries) != l.document.hash {
					b.Fatal("another hash")
				}
			}
		})
	})
}

// The whole state, as a keeper's snapshot has it, and its size.
func BenchmarkMarshalBinary(b *testing.B) {
	sizes(b, func(b *testing.B, l *Log, entries int) {
		size := 0
		for b.Loop() {
			state, err := l.MarshalBinary()
			if err != nil {
				b.Fatal(err)
			}
			size = len(state)
		}
		b.ReportMetric(float64(size), "state-B")
	})
}

// A follower that takes a delta of one entry.
func BenchmarkOfferDelta(b *testing.B) {
	sizes(b, func(b *testing.B, l *Log, entries int) {
		f := NewFollower("r", "1")
		rev := l.Revision() - 1
		content, _ := l.EntriesAt(rev)
		if _, ok, err := f.Offer(Update{To: rev, Snapshot: true, Put: content, Hash: HashEntries(content)}); !ok {
			b.Fatal(err)
		}
		f.Accept()
		u := l.NextUpdate(f.Status())
		for b.Loop() {
			if _, ok, err := f.Offer(u); !ok {
				b.Fatal(err)
			}
			f.candidate = nil
		}
	})
}
