package node

import (
	"windflow/dispatch"
	"windflow/internal/router"
)

const (
	msgUsage = "use" // usageMessage
	// usageIntervalMS is how often either process reports what it has running. While the other one has maxUsageBacklog
	// messages or more to read, the report is left out.
	usageIntervalMS = 50.0
	maxUsageBacklog = 8
)

// usageMessage is what a process has running, and what it holds of the router's limits.
type usageMessage struct {
	Dispatch    dispatch.OtherProcessUsage `json:"module"`
	Sessions    int                        `json:"sessions"`
	EngineConns int                        `json:"conns"`
	Leaving     bool                       `json:"leaving"`
}

// usageExchange reports what this process has running to the other process of the router, and keeps what that reports.
type usageExchange struct {
	loop     *router.Loop
	services *services
	partner  *partnerLink
	leaving  func() bool
	latest   usageMessage // zero while there is no other process
}

// start reports to a process again and again for as long as it is the partner.
func (u *usageExchange) reportPeriodically(p *peer) {
	if u.partner.peer != p {
		return
	}
	if p.link.Pending() < maxUsageBacklog {
		u.report()
	}
	u.loop.After(usageIntervalMS, func() { u.reportPeriodically(p) })
}

// report tells the other process what this one has running now, if there is one.
func (u *usageExchange) report() {
	u.partner.send(msgUsage, usageMessage{
		Dispatch: u.services.core.Usage(), Sessions: u.services.front.Sessions(),
		EngineConns: u.services.engines.ConnCount(), Leaving: u.leaving(),
	})
}

// update takes the other process's report.
func (u *usageExchange) update(usage usageMessage) {
	u.latest = usage
	u.services.core.SetOtherProcessUsage(usage.Dispatch)
}

// reported is what the other process has reported last, zero while there is none.
func (u *usageExchange) reported() usageMessage { return u.latest }

// partnerEnded forgets what a process had that has ended.
func (u *usageExchange) partnerEnded() { u.latest = usageMessage{} }
