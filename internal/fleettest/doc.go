// Package fleettest is what tests of a complete fleet are built from: real processes of the built programs; simulated
// routers (the real discovery watcher, dispatch and configuration client, many to a process, without sockets for
// clients and engines); a discovery server, engines and keepers; and relays that disconnect, blackhole and delay
// links. All of it is on loopback. At most MaxProcesses run and MaxMemory is resident, and every process ends with
// its test, also when the test run is killed. No program links it.
//
// The package's own tests play a small fleet. Run by hand, each from the module's root, they measure and play more:
//
//	WINDFLOW_SLOPES=docs/capacity go test ./internal/fleettest -count=1 -run TestSlopes -v -timeout 30m
//
// measures costs by size and writes them to docs/capacity/slopes.json, row by row, and
//
//	WINDFLOW_FLEET_KEEPERS=5 WINDFLOW_FLEET_REAL=100 WINDFLOW_FLEET_HOLLOW=500 WINDFLOW_FLEET_CHANGES=200 \
//	WINDFLOW_SLOPES=docs/capacity go test ./internal/fleettest -count=1 -run ConfigurationReaches -v
//
// brings configuration changes to 600 routers under every kind of fault, and writes the times to
// docs/capacity/scale.json; WINDFLOW_FLEET_HOLLOW is the number of simulated routers. WINDFLOW_FLEET_PROGRAMS names a
// folder with the programs of another version to measure. Processor time is that of the processes, which other work
// on the machine changes little; wall times it does change.
package fleettest
