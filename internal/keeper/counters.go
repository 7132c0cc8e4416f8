package keeper

import "sync/atomic"

// counters counts events since the keeper started; `GET /v1/status` reports them.
type counters struct {
	calls, callsRejected atomic.Int64
	bytesIn, bytesOut    atomic.Int64 // bytes on HTTP connections, headers included
	raftIn, raftOut      atomic.Int64 // bytes of replication traffic

	changesReceived, changesMade     atomic.Int64
	changesRejected, changesUnserved atomic.Int64
	forwarded                        atomic.Int64 // calls forwarded to the leader

	polls, pollsRejected       atomic.Int64 // followers' polls
	pollsOpen                  atomic.Int64 // number open now, not a total
	snapshotsSent, updatesSent atomic.Int64

	diskErrors    atomic.Int64
	lastDiskError atomic.Pointer[string]
}

func (c *counters) recordDiskError(err error) {
	c.diskErrors.Add(1)
	text := err.Error()
	c.lastDiskError.Store(&text)
}
