// Package validate checks configurations completely without using them. The router at its start, `windflow config
// check` and the keepers call it, so that they agree. It opens nothing and imports neither the network nor a
// protocol.
package validate
