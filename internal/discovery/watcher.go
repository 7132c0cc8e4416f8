package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"

	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
)

const (
	// connectTimeoutMS is the time in milliseconds that a connection may take to be established.
	connectTimeoutMS = 8000.0
	// maxConnections is the number of connections that are open at the same time while all of them lag. A further one
	// replaces the second oldest, which is given several seconds that way; the oldest stays.
	maxConnections = 4
	// maxSilenceMS is the time in milliseconds without progress after which the oldest connection is replaced, too.
	maxSilenceMS = 60_000.0
	// The delay before the next connection attempt, in milliseconds, doubles while connections fail. It is multiplied
	// by a random factor between 0.5 and 1.5, so that hundreds of routers that lose discovery at the same time do not
	// reconnect at the same time.
	minReconnectDelayMS, maxReconnectDelayMS = 100.0, 500.0
	minDelayFactor                           = 0.5
	// randomStream selects the random stream of the delays, which differs from other streams with the same seed.
	randomStream = 0x626f617264
)

// Update is the content of one event: the complete endpoint list or its changes, and the addresses of the endpoints.
type Update = settings.EndpointUpdate

// RecordNames contains the names of zones and engine kinds from the settings, which records refer to by index.
type RecordNames struct{ Zones, Kinds []string }

// Counters counts connections to discovery, and the frames and events received on them.
type Counters struct {
	Connections int64 `status:"links"`
	Frames      int64 `status:"frames"`
	Events      int64 `status:"events"`
	BadFrames   int64 `status:"bad"`
}

// Watcher maintains a connection to discovery and reports each event once and in order. While a connection lags, it opens
// others beside it; the first that makes progress replaces those that are older. It must be used only in the loop's
// goroutine.
type Watcher struct {
	loop     *router.Loop
	dialer   netio.Dialer
	address  string
	names    RecordNames
	onUpdate func(Update)
	log      *slog.Logger
	random   *rand.Rand

	connections      []*connection // oldest first
	reconnectDelayMS float64       // the next delay without its random factor
	reconnect        *router.Timer // opens the next connection; nil or stopped while a connection does not lag
	reconnectPending bool          // whether reconnect is set

	lastEvent     uint64
	lastContactMS float64
	Counters      Counters
}

// Watch connects to discovery at the address. lastEvent is the number of the last known event; onUpdate is called in
// the loop for each later event. seed determines the random reconnection delays.
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

// LastEvent returns the number of the last known event.
func (w *Watcher) LastEvent() uint64 { return w.lastEvent }

// LastContactMS returns the time at which the last frame was received, in milliseconds of the loop's clock. It returns
// 0 if no frame was received.
func (w *Watcher) LastContactMS() float64 { return w.lastContactMS }

// Configure sets the names that are used for the records received from now on. If the address has changed, it connects
// to the new one at once and continues after the last event. Data that still arrives from the former address is
// ignored. Event numbers continue at the new address, so each event is reported once.
func (w *Watcher) Configure(address string, names RecordNames) {
	w.names = names
	if address == w.address {
		return
	}
	w.log.Info("discovery address changed", "from", w.address, "to", address, "last_event", w.lastEvent)
	w.address, w.reconnectDelayMS = address, minReconnectDelayMS
	for _, former := range w.connections {
		former.close()
	}
	w.connections = nil
	w.connect()
}

// connect opens a connection and starts its timeout.
func (w *Watcher) connect() {
	w.cancelReconnect() // otherwise it would open a second connection
	if len(w.connections) >= maxConnections {
		w.closeLagging()
	}
	w.Counters.Connections++
	opened := &connection{watcher: w, progressMS: w.loop.Now()}
	w.connections = append(w.connections, opened)
	opened.conn = w.dialer.Dial(w.address, connectTimeoutMS, opened)
	opened.restartTimeout(slowConnectMS)
}

// closeLagging closes one of the connections, all of which lag: the oldest if it has been silent for maxSilenceMS, else
// the second oldest.
func (w *Watcher) closeLagging() {
	index := 1
	if w.loop.Now()-w.connections[0].progressMS >= maxSilenceMS {
		index = 0
	}
	w.connections[index].close()
	w.connections = slices.Delete(w.connections, index, index+1)
}

// connected is called when the first bytes are received on a connection. It resets the reconnection delay.
func (w *Watcher) connected() {
	w.log.Info("discovery connected", "address", w.address, "last_event", w.lastEvent)
	w.reconnectDelayMS = minReconnectDelayMS
}

// connectionProgressed closes the connections that are older than one that has made progress. Newer ones stay until
// they make progress themselves: they may be faster.
func (w *Watcher) connectionProgressed(progressed *connection) {
	w.cancelReconnect()
	for len(w.connections) > 0 && w.connections[0] != progressed {
		w.connections[0].close()
		w.connections = w.connections[1:]
	}
}

// connectionLags is called when a connection has made no progress in time. Beside one that brings frames it is of no use.
func (w *Watcher) connectionLags(lagging *connection) {
	if slices.ContainsFunc(w.connections, func(c *connection) bool { return c.received && !c.lagging }) {
		lagging.close()
		w.remove(lagging)
		return
	}
	w.scheduleReconnect(lagging.received, errTimeout)
}

// connectionEnded removes a connection that has ended.
func (w *Watcher) connectionEnded(ended *connection, err error) {
	w.remove(ended)
	w.scheduleReconnect(ended.received, err)
}

func (w *Watcher) remove(closed *connection) {
	w.connections = slices.DeleteFunc(w.connections, func(c *connection) bool { return c == closed })
}

// scheduleReconnect schedules the next connection after one lags or has ended, unless there is another that does not
// lag. received reports whether any bytes were received on it.
func (w *Watcher) scheduleReconnect(received bool, err error) {
	level := slog.LevelWarn
	if !received && w.reconnectDelayMS > minReconnectDelayMS {
		level = slog.LevelDebug // the first failure was already logged, and the next successful connection will be
	}
	w.log.Log(context.Background(), level, "discovery connection lost", "error", err, "last_event", w.lastEvent)
	usable := slices.ContainsFunc(w.connections, func(c *connection) bool { return !c.lagging })
	if usable || w.reconnectPending {
		return
	}
	w.reconnectPending = true
	w.reconnect = w.loop.After(w.reconnectDelayMS*(minDelayFactor+w.random.Float64()), w.connect)
	if !received {
		w.reconnectDelayMS = min(2*w.reconnectDelayMS, maxReconnectDelayMS)
	}
}

// cancelReconnect cancels the next connection if it is scheduled.
func (w *Watcher) cancelReconnect() {
	w.reconnect.Stop()
	w.reconnectPending = false
}

// handleFrame parses a frame and reports its event, unless it is already known. It returns an error if the frame is
// malformed or events are missing before it.
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
		return fmt.Errorf("%w: received event %d after event %d", errEventGap, received.event, w.lastEvent)
	default:
		w.lastEvent = received.event
		w.Counters.Events++
		w.log.Info("endpoint list updated", "event", received.event, "engines", len(received.update.List.Endpoints),
			"complete", received.kind == frameComplete)
		w.onUpdate(received.update)
	}
	return nil
}
