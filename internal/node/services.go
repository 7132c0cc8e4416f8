package node

import (
	"windflow/internal/discovery"
	"windflow/internal/enginehttp"
	"windflow/internal/installation"
	"windflow/internal/mysql"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
)

// services are what a router serves with. They are empty until the router is built: a process that waits for the
// state of its predecessor has none yet.
type services struct {
	net       *netio.Poller
	core      *router.Core
	byKind    *router.ClientByKind // clients of engines, by the kind of engine
	engines   *enginehttp.Client
	front     *mysql.Front
	endpoints *discovery.Watcher
}

// built reports whether the core is there; the parts start after it.
func (s *services) built() bool { return s.core != nil }

// activeSettings are the settings in force. They change in the loop only.
type activeSettings struct {
	platform *settings.Node
	site     *installation.Settings
}
