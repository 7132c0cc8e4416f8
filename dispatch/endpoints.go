package dispatch

import (
	"cmp"
	"slices"
	"time"

	"windflow/internal/decide/backoff"
	"windflow/internal/decide/pressure"
)

// engine is an engine that an endpoint list has named, with everything known about it.
type engine struct {
	Endpoint
	cores    float64
	memoryMB float64
	listed   bool // live and not cordoned
	zone     *zone
	running  []*attempt
	usage    engineUsage
	warmUp   warmUp
	health   health
	pressure pressure.Engine
}

// zone is a failure domain named by the endpoint list.
type zone struct {
	backoff.ZoneBackoff
	active bool // at least one of its engines is listed
}

// endpointTable holds the engines that the endpoint list names.
type endpointTable struct {
	env         *environment
	cordons     cordonList
	all         []*engine // sorted by id
	byID        map[EngineID]*engine
	listed      []*engine
	cores       float64 // sum over the listed engines
	memoryMB    float64
	zones       map[string]*zone
	activeZones []*zone
	unsorted    bool // engines were added since the last refresh
	anyRemoved  bool // engines were removed since the last refresh
}

func newEndpointTable(env *environment) *endpointTable {
	return &endpointTable{env: env, cordons: newCordonList(), byID: map[EngineID]*engine{}, zones: map[string]*zone{}}
}

// engines returns all engines sorted by id, including those that are not listed.
func (t *endpointTable) engines() []*engine { return t.all }

// listedEngines returns the engines that are live and not cordoned, sorted by id.
func (t *endpointTable) listedEngines() []*engine { return t.listed }

// engine returns the engine with that id, or nil if it is unknown.
func (t *endpointTable) engine(id EngineID) *engine { return t.byID[id] }

func (t *endpointTable) isEmpty() bool { return len(t.all) == 0 }

// total returns the sums of the cores and the memory in MB of all listed engines.
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

// removeAll marks all engines as removed. A complete list then marks the engines that it names as present again.
func (t *endpointTable) removeAll() {
	for _, e := range t.all {
		e.listed = false
		e.State = Removed
		t.anyRemoved = true
	}
}

// update applies one entry of an endpoint list. restarted reports whether the engine has to warm up, from startedAt
// on.
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

// applyKind sets the cores and the memory of an engine to the values of its kind.
func (t *endpointTable) applyKind(e *engine) {
	for _, kind := range t.env.config.Kinds {
		if kind.Name == e.Kind && kind.Cores > 0 {
			e.cores = kind.Cores
			e.memoryMB = kind.MemoryMB
		}
	}
}

// applyKinds applies changed engine kinds to all engines.
func (t *endpointTable) applyKinds() {
	for _, e := range t.all {
		t.applyKind(e)
	}
}

// zone returns the zone of that name and creates it if needed.
func (t *endpointTable) zone(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{}
		t.zones[name] = z
	}
	return z
}

// refresh recomputes the listed engines and their sums, and forgets removed engines that run no attempt any more. It
// returns the forgotten engines.
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
			z.ZoneBackoff = backoff.ZoneBackoff{} // backoff state is not kept while a zone has no listed engines
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
			t.anyRemoved = true // a later refresh forgets it, when its attempts have ended
			return false
		}
		delete(t.byID, e.ID)
		forgotten = append(forgotten, e)
		return true
	})
	return forgotten
}

// averageCores returns the average number of cores of a listed engine.
func (t *endpointTable) averageCores() float64 { return t.cores / float64(len(t.listed)) }

// allZonesBackedOff reports whether the backoff is active for all zones that have listed engines.
func (t *endpointTable) allZonesBackedOff() bool { return t.zonesBackedOff() >= len(t.activeZones) }

// zonesBackedOff returns the number of zones whose backoff is active.
func (t *endpointTable) zonesBackedOff() (n int) {
	for _, z := range t.activeZones {
		if z.Active(t.env.nowMS()) {
			n++
		}
	}
	return n
}

// zonesLost reports whether so many zones do not answer that their engines have probably failed. If only few zones or
// most of them are silent, a network link is more likely cut, and routers on the other side of it may still use these
// engines.
func (t *endpointTable) zonesLost() bool {
	suspect := 0
	for _, z := range t.activeZones {
		if z.Suspect() {
			suspect++
		}
	}
	return 4*suspect > len(t.activeZones) && 2*suspect <= len(t.activeZones)
}

// limits returns the settings that apply to an engine's memory.
func (t *endpointTable) limits(e *engine) pressure.Limits {
	return pressure.Limits{
		MemoryMB:      e.memoryMB,
		MaxGrantShare: t.env.config.Features.MaxGrantShare,
		Shortage:      pressure.MemoryShortage(t.env.config.Features.MemoryShortage),
	}
}

// recordReport records a load report of an engine.
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

// rank returns the sort key of an engine for a table group. Each table group orders the engines differently, by a
// splitmix64 hash.
func rank(tableGroup int64, id EngineID) uint64 {
	x := uint64(tableGroup-1)*0x9e3779b97f4a7c15 + uint64(id)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
