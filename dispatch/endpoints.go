package dispatch

import (
	"cmp"
	"slices"
	"time"

	"windflow/internal/decide/backoff"
	"windflow/internal/decide/pressure"
)

// engine is an engine that an endpoint list has named, with what is known of it.
type engine struct {
	Endpoint
	cores    float64
	memoryMB float64
	listed   bool // it is live and not cordoned
	zone     *zone
	running  []*attempt
	usage    engineUsage
	warmUp   warmUp
	health   health
	pressure pressure.Engine
}

// zone is a failure domain that the endpoint list names.
type zone struct {
	backoff.ZoneBackoff
	active bool // it has a listed engine
}

// endpointTable holds the engines that the endpoint list names.
type endpointTable struct {
	env         *environment
	cordons     cordonList
	all         []*engine // by their ids
	byID        map[EngineID]*engine
	listed      []*engine
	cores       float64 // of the listed engines
	memoryMB    float64
	zones       map[string]*zone
	activeZones []*zone
	unsorted    bool // engines were added since the last refresh
	anyRemoved  bool // engines were removed since
}

func newEndpointTable(env *environment) *endpointTable {
	return &endpointTable{env: env, cordons: newCordonList(), byID: map[EngineID]*engine{}, zones: map[string]*zone{}}
}

// engines returns all engines by their ids, also those that are not listed.
func (t *endpointTable) engines() []*engine { return t.all }

// listedEngines returns the engines that are live and not cordoned, by their ids.
func (t *endpointTable) listedEngines() []*engine { return t.listed }

// engine returns an engine, or nil for an unknown one.
func (t *endpointTable) engine(id EngineID) *engine { return t.byID[id] }

func (t *endpointTable) isEmpty() bool { return len(t.all) == 0 }

// total is what all listed engines have.
func (t *endpointTable) total() (cores, memoryMB float64) { return t.cores, t.memoryMB }

// setCordoned cordons or uncordons an engine and returns it, or nil if nothing changed or the engine is unknown.
func (t *endpointTable) setCordoned(id EngineID, cordoned bool) *engine {
	if !t.cordons.set(id, cordoned) {
		return nil
	}
	e := t.byID[id]
	if e != nil {
		e.listed = e.State == Live && !cordoned
	}
	return e
}

// removeAll marks all engines as removed, until a complete list names them again.
func (t *endpointTable) removeAll() {
	for _, e := range t.all {
		e.listed = false
		e.State = Removed
		t.anyRemoved = true
	}
}

// update takes one entry of an endpoint list. restarted says that the engine has to warm up, from startedAt on.
func (t *endpointTable) update(entry Endpoint, firstList bool) (e *engine, startedAt time.Duration, restarted bool) {
	e = t.byID[entry.ID]
	if e == nil {
		e = t.add(entry)
		if entry.StartedAt == 0 && !firstList {
			startedAt, restarted = t.env.now, true
		}
	}
	newStart := entry.StartedAt != e.StartedAt || e.warmUp.neverWarmedUp()
	if entry.StartedAt > 0 && newStart && entry.StartedAt+t.env.config.WarmUp.Duration > t.env.now {
		startedAt, restarted = entry.StartedAt, true
	}
	if e.zone == nil || e.Zone != entry.Zone {
		e.zone = t.zone(entry.Zone)
	}
	e.Endpoint = entry
	t.anyRemoved = t.anyRemoved || entry.State == Removed
	t.cordons.add(entry.ID)
	e.listed = entry.State == Live && !t.cordons.isCordoned(entry.ID)
	return e, startedAt, restarted
}

func (t *endpointTable) add(entry Endpoint) *engine {
	e := &engine{Endpoint: entry, cores: max(entry.CapacityWeight, 1), health: newHealth()}
	t.applyKind(e)
	t.byID[entry.ID] = e
	t.all = append(t.all, e)
	t.unsorted = true
	return e
}

// applyKind sets an engine's cores and memory to those of its kind.
func (t *endpointTable) applyKind(e *engine) {
	for _, kind := range t.env.config.Kinds {
		if kind.Name == e.Kind && kind.Cores > 0 {
			e.cores = kind.Cores
			e.memoryMB = kind.MemoryMB
		}
	}
}

// applyKinds applies changed kinds of engine.
func (t *endpointTable) applyKinds() {
	for _, e := range t.all {
		t.applyKind(e)
	}
}

// zone returns the zone of that name.
func (t *endpointTable) zone(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{}
		t.zones[name] = z
	}
	return z
}

// refresh recomputes the listed engines and their sums, and forgets engines that were removed and run nothing any
// more. It returns the forgotten ones.
func (t *endpointTable) refresh() (forgotten []*engine) {
	forgotten = t.forgetRemoved()
	if t.unsorted {
		t.unsorted = false
		slices.SortFunc(t.all, byEngineID)
	}
	t.listed, t.cores, t.memoryMB = t.listed[:0], 0, 0
	wereActive := t.activeZones
	t.activeZones = nil
	for _, z := range wereActive {
		z.active = false
	}
	for _, e := range t.all {
		if !e.listed {
			continue
		}
		if !e.zone.active {
			e.zone.active = true
			t.activeZones = append(t.activeZones, e.zone)
		}
		t.listed = append(t.listed, e)
		t.cores += e.cores
		t.memoryMB += e.memoryMB
	}
	for _, z := range t.activeZones {
		if !slices.Contains(wereActive, z) {
			z.ZoneBackoff = backoff.ZoneBackoff{} // nothing is kept of a zone without listed engines
		}
	}
	return forgotten
}

func (t *endpointTable) forgetRemoved() (forgotten []*engine) {
	if !t.anyRemoved {
		return nil
	}
	t.anyRemoved = false
	t.all = slices.DeleteFunc(t.all, func(e *engine) bool {
		if e.State != Removed {
			return false
		}
		if len(e.running) > 0 {
			t.anyRemoved = true // it is forgotten later
			return false
		}
		delete(t.byID, e.ID)
		forgotten = append(forgotten, e)
		return true
	})
	return forgotten
}

// averageCores is the cores of a listed engine in the mean.
func (t *endpointTable) averageCores() float64 { return t.cores / float64(len(t.listed)) }

// allZonesBackedOff reports whether all zones with listed engines are backed off from.
func (t *endpointTable) allZonesBackedOff() bool { return t.zonesBackedOff() >= len(t.activeZones) }

// zonesBackedOff counts the zones that are backed off from.
func (t *endpointTable) zonesBackedOff() (n int) {
	for _, z := range t.activeZones {
		if z.Active(t.env.nowMS()) {
			n++
		}
	}
	return n
}

// zonesLost reports whether so many zones do not answer that their engines are rather lost than cut off. Where few
// zones or most of them are silent, routers beyond a cut link may still use these engines.
func (t *endpointTable) zonesLost() bool {
	suspect := 0
	for _, z := range t.activeZones {
		if z.Suspect() {
			suspect++
		}
	}
	return 4*suspect > len(t.activeZones) && 2*suspect <= len(t.activeZones)
}

// limits are what the settings say of an engine.
func (t *endpointTable) limits(e *engine) pressure.Limits {
	return pressure.Limits{
		MemoryMB:      e.memoryMB,
		MaxGrantShare: t.env.config.Features.MaxGrantShare,
		Shortage:      pressure.MemoryShortage(t.env.config.Features.MemoryShortage),
	}
}

// recordReport takes an engine's load report.
func (t *endpointTable) recordReport(e *engine, report LoadReport) {
	e.pressure.LoadReported(pressure.LoadReport{
		InFlight: report.InFlight,
		Waiting:  report.Waiting,
		Busy:     report.Busy,
		Disk:     report.Disk,
		Memory:   report.Memory,
	}, t.env.nowMS())
}

func byEngineID(a, b *engine) int { return cmp.Compare(a.ID, b.ID) }

// rank orders engines for a table group, each group in an order of its own (splitmix64).
func rank(tableGroup int64, id EngineID) uint64 {
	x := uint64(tableGroup-1)*0x9e3779b97f4a7c15 + uint64(id)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
