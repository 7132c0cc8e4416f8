// Package settings reads the platform's configuration of a router and converts it to the types of package dispatch. The
// simulator's first message and the file of a real router contain the same JSON form of the settings. Its names of
// fields and values are defined by the platform and used in this package only. Overlay applies entries of the
// configuration log to such a file.
package settings
