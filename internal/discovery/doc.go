// Package discovery watches the service that tells routers which endpoints there are. The settings hold the endpoint
// list up to a numbered event; a Watcher receives the events after it over TCP, each once and in order. The layout of
// the frames is the platform's, whose discovery service is its notice board; frame.go alone knows it.
package discovery
