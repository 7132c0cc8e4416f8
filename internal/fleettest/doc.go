// Package fleettest is what tests of a whole fleet are built from: real processes of the built programs, hollow routers (the
// real follower of the notice board, the real module on driven statements and the real follower of keepers, many to a process,
// without sockets for clients and engines), a stand-in notice board, stand-in engines, and links that cut, fall silent and
// delay. All of it is on loopback; at most MaxProcesses run and MaxMemory is held, and every process ends with its test, also
// with a test run that is killed. No program links it.
//
// The package's own tests play a fleet in small. By hand they measure and play more, each from the module's root:
//
//	WINDFLOW_SLOPES=docs/capacity go test ./internal/fleettest -count=1 -run TestSlopes -v -timeout 30m
//
// measures costs by sizes and puts them into docs/capacity/slopes.json, row by row, and
//
//	WINDFLOW_FLEET_KEEPERS=5 WINDFLOW_FLEET_REAL=100 WINDFLOW_FLEET_HOLLOW=500 WINDFLOW_FLEET_CHANGES=200 \
//	WINDFLOW_SLOPES=docs/capacity go test ./internal/fleettest -count=1 -run ConfigurationReaches -v
//
// brings changes of the configuration to 600 routers through everything that may go wrong, and puts the times into
// docs/capacity/scale.json. WINDFLOW_FLEET_PROGRAMS names a folder with the programs of another version, to measure that.
// Processor time is the processes' own, so that other work on the machine changes it little; wall times it changes.
package fleettest
