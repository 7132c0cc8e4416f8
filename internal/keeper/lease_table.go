package keeper

import (
	"sync"
	"time"

	"windflow/internal/decide/configlog"
)

// leaseTable holds the leases of the followers that call this keeper. A follower's lease expires if the follower does
// not call for the lease duration.
type leaseTable struct {
	keeperID  string
	startedAt time.Time

	mu     sync.Mutex
	leases *configlog.Leases
}

// keeperLeases is the response to `GET /v1/leases`: the leases of one keeper.
type keeperLeases struct {
	Keeper string `json:"keeper"`
	// Complete is false for one lease duration after the process started or was paused for long: some live followers
	// may not have called yet.
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

// uptime returns the time since the keeper started, by the monotonic clock.
func (t *leaseTable) uptime() time.Duration { return time.Since(t.startedAt) }

// nowMS returns the uptime in milliseconds, which configlog.Leases uses as its clock.
func (t *leaseTable) nowMS() float64 { return float64(t.uptime()) / float64(time.Millisecond) }

func (t *leaseTable) renew(status configlog.FollowerStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases.Renew(t.nowMS(), status)
}

// tick records that the process is running. The table detects a pause of the process by missing ticks.
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
