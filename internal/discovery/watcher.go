package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"

	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
)

const (
	connectTimeoutMS = 250.0
	// The wait before the next connection, in milliseconds, doubles while connections fail. A random factor between a
	// half and one and a half spreads it, so that hundreds of routers that lose discovery together don't come back
	// together.
	minReconnectDelayMS, maxReconnectDelayMS = 100.0, 500.0
	minDelayFactor                           = 0.5
	// randomStream sets the draws of waits apart from others that are made from the same seed.
	randomStream = 0x626f617264
)

// Update is one event: the endpoint list or what changed of it, and where the endpoints listen.
type Update = settings.EndpointEvents

// RecordNames are the lists of the settings that the records of frames have indexes into.
type RecordNames struct{ Zones, Kinds []string }

// Counters count connections and what was received on them.
type Counters struct {
	Connections int64 `status:"links"`
	Frames      int64 `status:"frames"`
	Events      int64 `status:"events"`
	BadFrames   int64 `status:"bad"`
}

// Watcher keeps a connection to discovery and reports every event once, in order. It belongs to the loop's goroutine.
type Watcher struct {
	loop     *router.Loop
	dialer   netio.Dialer
	address  string
	names    RecordNames
	onUpdate func(Update)
	log      *slog.Logger
	random   *rand.Rand

	connection       *connection
	reconnectDelayMS float64       // the next wait but for its random factor
	reconnect        *router.Timer // opens the next connection; nil or stopped while there is one

	lastEvent     uint64
	lastContactMS float64
	Counters      Counters
}

// Watch connects to discovery. lastEvent is the number of the last event that is known; onUpdate is called in the
// loop with each later one. Waits are drawn from the seed.
func Watch(
	loop *router.Loop, dialer netio.Dialer, address string, names RecordNames, lastEvent uint64, onUpdate func(Update),
	seed uint64, log *slog.Logger,
) *Watcher {
	w := &Watcher{
		loop:             loop,
		dialer:           dialer,
		address:          address,
		names:            names,
		onUpdate:         onUpdate,
		log:              log,
		random:           rand.New(rand.NewPCG(seed, randomStream)),
		reconnectDelayMS: minReconnectDelayMS,
		lastEvent:        lastEvent,
	}
	w.connect()
	return w
}

// LastEvent returns the number of the last event.
func (w *Watcher) LastEvent() uint64 { return w.lastEvent }

// LastContactMS returns when the last frame was received, in milliseconds of the loop's clock; 0 for never.
func (w *Watcher) LastContactMS() float64 { return w.lastContactMS }

// Configure applies other names to the records that are received from now on and, where the address is another one,
// connects there at once, from the last event on. What the former address still sends is dropped: the numbers of
// events continue at the new one, so that an event from either is reported once.
func (w *Watcher) Configure(address string, names RecordNames) {
	w.names = names
	if address == w.address {
		return
	}
	w.log.Info("discovery address changed", "from", w.address, "to", address, "last_event", w.lastEvent)
	w.address, w.reconnectDelayMS = address, minReconnectDelayMS
	w.reconnect.Stop() // else a pending reconnection would open a second connection
	w.connection.close()
	w.connect()
}

func (w *Watcher) connect() {
	w.Counters.Connections++
	w.connection = &connection{watcher: w}
	w.connection.conn = w.dialer.Dial(w.address, connectTimeoutMS, w.connection)
	w.connection.restartTimeout()
}

// connected records that discovery has sent something on a new connection.
func (w *Watcher) connected() {
	w.log.Info("discovery connected", "address", w.address, "last_event", w.lastEvent)
	w.reconnectDelayMS = minReconnectDelayMS
}

// connectionLost arms the next connection; received says whether anything was received on the one that was lost.
func (w *Watcher) connectionLost(received bool, err error) {
	level := slog.LevelWarn
	if !received && w.reconnectDelayMS > minReconnectDelayMS {
		level = slog.LevelDebug // the first failure was logged; the next good connection will be
	}
	w.log.Log(context.Background(), level, "discovery connection lost", "error", err, "last_event", w.lastEvent)
	w.reconnect = w.loop.After(w.reconnectDelayMS*(minDelayFactor+w.random.Float64()), w.connect)
	if !received {
		w.reconnectDelayMS = min(2*w.reconnectDelayMS, maxReconnectDelayMS)
	}
}

// handleFrame reports the event of a frame, unless it is known. An error says that the frame can't be trusted.
func (w *Watcher) handleFrame(body []byte) error {
	received, err := parseFrame(body, w.names)
	w.Counters.Frames++
	w.lastContactMS = w.loop.Now()
	switch {
	case err != nil:
		return err
	case received.kind == frameHeartbeat:
	case received.event <= w.lastEvent:
		w.log.Debug("known event ignored", "event", received.event, "last_event", w.lastEvent)
	case received.kind == frameChanges && received.event != w.lastEvent+1:
		return fmt.Errorf("%w: event %d follows event %d", errEventGap, received.event, w.lastEvent)
	default:
		w.lastEvent = received.event
		w.Counters.Events++
		w.log.Info("endpoint list updated", "event", received.event, "engines", len(received.update.Events.Endpoints),
			"complete", received.kind == frameComplete)
		w.onUpdate(received.update)
	}
	return nil
}
