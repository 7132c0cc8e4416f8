package discovery

import (
	"encoding/hex"
	"log/slog"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/netio"
	"windflow/internal/router"
)

var names = RecordNames{Zones: []string{"hall-a", "hall-b"}, Kinds: []string{"std-8"}}

const (
	head    = "0000000000000005" // event 5
	record  = "00c41f7a" + "7f080001" + "1f90" + "00" + "01" + "00" + "0002" + "000005dc" + "0000000000000000"
	unknown = "00c41f7a" + "7f080001" + "1f90" + "00" + "02" + "00" + "0002" + "000005dc" + "0000000000000000"
)

func frameOf(t *testing.T, body string) []byte {
	t.Helper()
	b, err := hex.DecodeString(body)
	if err != nil {
		t.Fatal(err)
	}
	return append([]byte{0, 0, byte(len(b) >> 8), byte(len(b))}, b...)
}

func TestParseFrame(t *testing.T) {
	engine := dispatch.Endpoint{ID: 0xc41f7a, Zone: "hall-b", Kind: "std-8", Cell: 2, CapacityWeight: 1.5}
	for _, k := range []struct {
		name, body, err string
		want            []dispatch.Endpoint
		mode            dispatch.ListMode
	}{
		{"nothing new", head + "00", "", nil, dispatch.ListIncremental},
		{"whole list", head + "01" + record, "", []dispatch.Endpoint{engine}, dispatch.ListComplete},
		{"changes", head + "02" + record, "", []dispatch.Endpoint{engine}, dispatch.ListIncremental},
		{"unknown kind", head + "03", "unknown kind", nil, 0},
		{"cut record", head + "02" + record[:50], "not whole records", nil, 0},
		{"zone out of range", head + "02" + unknown, "out of range", nil, 0},
		{"payload on nothing", head + "00" + record, "payload", nil, 0},
		{"too short", "00", "too short", nil, 0},
	} {
		f, err := parseFrame(frameOf(t, k.body)[4:], names)
		if k.err != "" {
			if err == nil || !strings.Contains(err.Error(), k.err) {
				t.Errorf("%s: error %v, want %q", k.name, err, k.err)
			}
			continue
		}
		if err != nil || f.number != 5 {
			t.Errorf("%s: number %d, %v", k.name, f.number, err)
		}
		if diff := cmp.Diff(dispatch.EndpointList{Mode: k.mode, Endpoints: k.want}, f.list.Events); diff != "" {
			t.Errorf("%s: %s", k.name, diff)
		}
		if len(k.want) > 0 && f.list.Addresses[engine.ID] != "127.8.0.1:8080" {
			t.Errorf("%s: address %q", k.name, f.list.Addresses[engine.ID])
		}
	}
}

// dials is a stand-in for the network: it keeps the handlers of the links and what they write.
type dials struct {
	links   []netio.Handler
	written []string
}

func (d *dials) Dial(_ string, _ float64, h netio.Handler) netio.Conn {
	d.links = append(d.links, h)
	return &end{d: d}
}

type end struct{ d *dials }

func (e *end) Write(b []byte) error {
	e.d.written = append(e.d.written, hex.EncodeToString(b))
	return nil
}
func (e *end) Close()                  {}
func (e *end) CloseGracefully()        {}
func (e *end) NotifyFlushed(f func())  { f() }
func (e *end) Detach(f func(*os.File)) { f(nil) }
func (e *end) HasUnread() bool         { return false }

// A bad frame, a gap or silence ends the link, keeps the list, and the next link goes on from the last good
// event.
func TestLinkIsReopenedFromTheLastGoodEvent(t *testing.T) {
	now := &clock.Manual{MS: 1e6}
	loop := router.NewLoop(now)
	run := func() {
		for loop.Step() {
		}
	}
	d := &dials{}
	var told []int
	f := Watch(loop, d, "board", names, 4, func(l Update) { told = append(told, len(l.Events.Endpoints)) },
		1, slog.New(slog.DiscardHandler))
	steps := []struct {
		name, frame string
		wait        float64
		links       int
		asked       string // what the newest link asked from
	}{
		{"event 5, in two parts", head + "02" + record, 0, 1, "0000000000000004"},
		{"event 5 again is passed over", head + "02" + record, 0, 1, "0000000000000004"},
		{"bad kind", head + "09", 150, 2, "0000000000000005"},
		{"a gap", "0000000000000007" + "02" + record, 150, 3, "0000000000000005"},
		{"event 6", "0000000000000006" + "01", 0, 3, "0000000000000005"},
		{"silence", "", 2700, 4, "0000000000000006"},
	}
	d.links[0].Opened(&end{d: d})
	for _, s := range steps {
		link := d.links[len(d.links)-1]
		if s.frame != "" {
			b := frameOf(t, s.frame)
			link.Data(b[:3], now.MS)
			link.Data(b[3:], now.MS)
		}
		before := len(d.links)
		now.MS += s.wait
		run()
		now.MS += 150
		run()
		if len(d.links) > before {
			d.links[len(d.links)-1].Opened(&end{d: d})
		}
		if len(d.links) != s.links || d.written[len(d.written)-1] != s.asked {
			t.Errorf("%s: %d links, the last asked from %s; want %d and %s", s.name, len(d.links),
				d.written[len(d.written)-1], s.links, s.asked)
		}
	}
	if diff := cmp.Diff([]int{1, 0}, told); diff != "" || f.Counters.BadFrames != 2 {
		t.Errorf("told %s, %d bad frames", diff, f.Counters.BadFrames)
	}
}

// Routers that lose the board in the same instant come back at times of their own, each time within half as much again of
// the wait; the same seed waits the same.
func TestRedialsAreSpread(t *testing.T) {
	redials := func(seed uint64) (at []float64) {
		now := &clock.Manual{MS: 1e6}
		loop := router.NewLoop(now)
		d := &dials{}
		Watch(loop, d, "board", names, 4, func(Update) {}, seed, slog.New(slog.DiscardHandler))
		for len(at) < 6 {
			d.links[len(d.links)-1].Closed(netio.ErrNotConnected)
			from := now.MS
			for before := len(d.links); len(d.links) == before; now.MS++ {
				for loop.Step() {
				}
			}
			at = append(at, now.MS-from)
		}
		return at
	}
	first := map[float64]int{}
	for seed := range uint64(100) {
		at := redials(seed)
		first[at[0]]++
		for i, wait := range at {
			usual := min(redialLeast*math.Pow(2, float64(i)), redialMost)
			if wait < usual/2 || wait > 1.5*usual+2 {
				t.Errorf("seed %d: redial %d after %v ms, want about %v", seed, i, wait, usual)
			}
		}
	}
	for at, n := range first {
		if n > 8 {
			t.Errorf("%d of 100 come back after %v ms", n, at)
		}
	}
	if diff := cmp.Diff(redials(7), redials(7)); diff != "" {
		t.Error("the same seed waits otherwise:", diff)
	}
}

// A board that sends a byte now and then of a frame that never ends, or nothing after a whole list, counts as silent; one
// that sends a long frame slowly does not.
func TestSilenceCountsWholeFrames(t *testing.T) {
	for _, k := range []struct {
		name  string
		first string // frame
		bytes int    // of a frame that follows, each 100 ms
		stays bool
	}{
		{"trickle", "0000000000000004" + "00", 1, false},
		{"silent after a whole list", "0000000000000005" + "01" + record, 0, false},
		{"a long frame", "0000000000000004" + "00", 1024, true},
		{"silent from the first on", "", 0, false},
	} {
		now := &clock.Manual{MS: 1e6}
		loop := router.NewLoop(now)
		d := &dials{}
		Watch(loop, d, "board", names, 4, func(Update) {}, 1, slog.New(slog.DiscardHandler))
		d.links[0].Opened(&end{d: d})
		if k.first != "" {
			d.links[0].Data(frameOf(t, k.first), now.MS)
		}
		long := []byte{0, 0x0f, 0xff, 0xff}
		for range 30 {
			if k.bytes > 0 {
				d.links[0].Data(append(long, make([]byte, k.bytes)...), now.MS)
				long = nil
			}
			now.MS += 100
			for loop.Step() {
			}
		}
		if stays := len(d.links) == 1; stays != k.stays {
			t.Errorf("%s: %d links after 3 s", k.name, len(d.links))
		}
	}
}

// FuzzParseFrame feeds arbitrary frames: no crash, and each engine that is told of has an address and stands in a
// place that the settings name.
func FuzzParseFrame(f *testing.F) {
	for _, body := range []string{head + "00", head + "01" + record, head + "02" + record + record, head + "02" + unknown} {
		b, err := hex.DecodeString(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		fr, err := parseFrame(b, names)
		if err != nil {
			return
		}
		for _, e := range fr.list.Events.Endpoints {
			if _, ok := fr.list.Addresses[e.ID]; !ok || !slices.Contains(names.Zones, e.Zone) ||
				!slices.Contains(names.Kinds, e.Kind) || e.StartedAt < 0 {
				t.Fatalf("%+v", e)
			}
		}
	})
}
