// Package integration holds the tests that run the real programs as separate
// processes on loopback and bring about failures: kills, freezes, cuts and
// outages. It has no code of its own.
package integration
