//go:build race

package keeper_test

const raceEnabled = true
