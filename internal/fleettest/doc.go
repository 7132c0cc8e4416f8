// Package fleettest is a harness for tests of a complete fleet. It provides processes of the built programs; simulated
// routers, many in one process, which use the real discovery watcher, dispatch and configuration client but have no
// sockets for clients and engines; a discovery server, engines and keepers; and relays that disconnect, blackhole and
// delay links. All connections are on loopback. At most MaxProcesses processes run at a time and use at most MaxMemory.
// Every process ends with its test, even if the test run is killed. No program links this package.
//
// By default, the package's own tests run a small fleet. With the environment variables below, they run by hand, from
// the module's root, with larger fleets and measure costs:
//
//	WINDFLOW_SLOPES=docs/capacity go test ./internal/fleettest -count=1 -run TestSlopes -v -timeout 30m
//
// measures costs by size and writes them to docs/capacity/slopes.json, each slope as soon as it is measured, and
//
//	WINDFLOW_FLEET_KEEPERS=5 WINDFLOW_FLEET_REAL=100 WINDFLOW_FLEET_HOLLOW=500 WINDFLOW_FLEET_CHANGES=200 \
//	WINDFLOW_SLOPES=docs/capacity go test ./internal/fleettest -count=1 -run ConfigurationReaches -v
//
// applies configuration changes to 600 routers while keepers and links fail, and writes the times to
// docs/capacity/scale.json. WINDFLOW_FLEET_HOLLOW is the number of simulated routers. WINDFLOW_FLEET_PROGRAMS names a
// folder with the programs of another version that are measured instead. Other work on the machine affects the measured
// processor time only slightly, but it does affect wall times.
package fleettest
