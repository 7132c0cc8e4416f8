// Package discovery watches the platform's discovery service, which lists the endpoints of the engines. The settings
// contain the endpoint list up to a numbered event. A Watcher receives the events after it over TCP and reports each
// of them once and in order. The binary format of the frames is defined by the platform, which calls its discovery
// service the notice board; only frame.go depends on the format.
package discovery
