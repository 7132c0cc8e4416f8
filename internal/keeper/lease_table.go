package keeper

import (
	"sync"
	"time"

	"windflow/internal/decide/configlog"
)

// leaseTable contains the leases of the followers that call this keeper.
type leaseTable struct {
	keeperID  string
	startedAt time.Time

	mu     sync.Mutex
	leases *configlog.Leases
}

// keeperLeases are the leases of one keeper, as GET /v1/leases returns them.
type keeperLeases struct {
	Keeper string `json:"keeper"`
	// Settled is false for one lease after a start or a long stop: some followers may not have called yet.
	Complete bool              `json:"settled"`
	Leases   []configlog.Lease `json:"leases"`
}

func newLeaseTable(keeperID string, duration time.Duration) *leaseTable {
	return &leaseTable{
		keeperID:  keeperID,
		startedAt: time.Now(),
		leases:    configlog.NewLeases(float64(duration.Milliseconds())),
	}
}

// uptime is measured on a monotonic clock.
func (t *leaseTable) uptime() time.Duration { return time.Since(t.startedAt) }

// nowMS is the uptime in milliseconds, the clock of configlog.Leases.
func (t *leaseTable) nowMS() float64 { return float64(t.uptime()) / float64(time.Millisecond) }

func (t *leaseTable) renew(status configlog.FollowerStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases.Renew(t.nowMS(), status)
}

// tick records that the process runs, so that the table detects a pause of it.
func (t *leaseTable) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases.Tick(t.nowMS())
}

func (t *leaseTable) live() keeperLeases {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.nowMS()
	return keeperLeases{Keeper: t.keeperID, Complete: t.leases.IsComplete(now), Leases: t.leases.Live(now)}
}
