// Package validate checks configurations completely without putting them in force. The router at startup, `windflow
// config check` and the keepers all call it, so that they accept the same configurations. It opens neither files nor
// connections, and imports neither package net nor a protocol.
package validate
