package keeper

import (
	"fmt"
	"os"
	"sync/atomic"
)

// lastLoopbackHost counts the addresses that LoopbackHost has returned.
var lastLoopbackHost atomic.Uint32

// LoopbackHost returns a different loopback address at each call, one for each keeper and each link. Other processes do
// not listen there, so a keeper's port is still free when the keeper restarts.
func LoopbackHost() string {
	n, pid := lastLoopbackHost.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%200, n/250+uint32(pid/200%8)*30, 1+n%250)
}

// MaxConnections returns the number of connections that a keeper keeps open for a limit of waiting followers.
func MaxConnections(maxWaitingFollowers int) int { return maxWaitingFollowers + spareConns }
