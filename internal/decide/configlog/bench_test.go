package configlog

import (
	"encoding/json"
	"fmt"
	"testing"
)

// newLargeLog returns a log with the given number of tenants, which were put in changes of at most 5,000 each, followed
// by 100 changes of one tenant each.
func newLargeLog(b *testing.B, entries int) *Log {
	b.Helper()
	l := NewLog(Retention{})
	for n := 0; n < entries; {
		c := Change{ID: fmt.Sprint("initial ", n), Put: map[string]json.RawMessage{}}
		for ; n < entries && len(c.Put) < 5000; n++ {
			c.Put[tenantPointer(n)] = json.RawMessage(`{"quota-rps":100,"share":1}`)
		}
		l.mustApply(b, c)
	}
	for i := range 100 {
		l.mustApply(b, put(fmt.Sprint("single ", i), tenantPointer(i%entries), fmt.Sprintf(`{"quota-rps":%d}`, i)))
	}
	return l
}

func tenantPointer(n int) string { return fmt.Sprintf("%stenant-%05d", tenantsPath, n) }

func benchmarkSizes(b *testing.B, run func(b *testing.B, l *Log, entries int)) {
	b.Helper()
	for _, entries := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			l := newLargeLog(b, entries)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, l, entries)
		})
	}
}

// Applies a change of one entry.
func BenchmarkApply(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Log, entries int) {
		b.Helper()
		changes := make([]Change, b.N)
		for i := range changes {
			changes[i] = put(fmt.Sprint(i), tenantPointer(i%entries), fmt.Sprintf(`{"quota-rps":%d}`, i))
		}
		b.ResetTimer()
		for _, c := range changes {
			if r := l.Apply(c); r.Err != nil {
				b.Fatal(r.Err)
			}
		}
	})
}

// Computes the update of a follower that is one revision behind.
func BenchmarkUpdateSinceDelta(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Log, _ int) {
		b.Helper()
		rev := l.Revision() - 1
		h, _ := l.history.hashAt(rev)
		for b.Loop() {
			if u := l.UpdateSince(rev, h); u.Snapshot || len(u.Put) != 1 {
				b.Fatal("the update is not the expected delta")
			}
		}
	})
}

// Computes the update of a follower that is 1,000 revisions behind a document of 1,000 entries.
func BenchmarkUpdateSinceLongDelta(b *testing.B) {
	l := newLargeLog(b, 1000)
	rev, h := l.Revision(), l.Hash()
	for i := range 1000 {
		l.mustApply(b, put(fmt.Sprint("late ", i), tenantPointer(i%400), fmt.Sprintf(`{"quota-rps":%d}`, i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		if u := l.UpdateSince(rev, h); u.Snapshot || len(u.Put) != 400 {
			b.Fatal("the update is not the expected delta")
		}
	}
}

// Computes the update of a follower that needs a snapshot.
func BenchmarkUpdateSinceSnapshot(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Log, entries int) {
		b.Helper()
		for b.Loop() {
			if u := l.UpdateSince(0, Hash{1}); !u.Snapshot || len(u.Put) != entries {
				b.Fatal("the update is not a complete snapshot")
			}
		}
	})
}

// Compares the hash that Apply keeps up to date with hashing all entries, which a follower does for a snapshot.
func BenchmarkHash(b *testing.B) {
	b.Run("maintained", func(b *testing.B) {
		benchmarkSizes(b, func(b *testing.B, l *Log, _ int) {
			b.Helper()
			for b.Loop() {
				if l.Hash() == (Hash{}) {
					b.Fatal("the hash is zero")
				}
			}
		})
	})
	b.Run("recomputed", func(b *testing.B) {
		benchmarkSizes(b, func(b *testing.B, l *Log, _ int) {
			b.Helper()
			for b.Loop() {
				if HashEntries(l.document.entries) != l.document.hash {
					b.Fatal("the computed hash differs from the maintained one")
				}
			}
		})
	})
}

// Encodes the complete state for a keeper's snapshot and reports its size.
func BenchmarkMarshalBinary(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Log, _ int) {
		b.Helper()
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

// Offers a follower a delta of one entry.
func BenchmarkOfferDelta(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, l *Log, _ int) {
		b.Helper()
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
