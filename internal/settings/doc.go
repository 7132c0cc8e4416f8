// Package settings reads the platform's configuration of a router and translates it. Its JSON is the one form of the
// settings, in the simulator's first message as in the file of a real router, and has the platform's own names; this
// package is the only one that knows them. Overlay lays entries of the configuration log over such a file.
package settings
