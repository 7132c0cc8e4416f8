//go:build !race

package keeper_test

const raced = false
