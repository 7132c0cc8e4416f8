package keeper

import (
	"fmt"
	"os"
	"sync/atomic"
)

// lastLoopbackHost numbers the addresses of LoopbackHost.
var lastLoopbackHost atomic.Uint32

// LoopbackHost returns a loopback address of its own for each keeper and each link: no other process opens ports there,
// so that a keeper finds its port free when it restarts.
func LoopbackHost() string {
	n, pid := lastLoopbackHost.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%200, n/250+uint32(pid/200%8)*30, 1+n%250)
}
