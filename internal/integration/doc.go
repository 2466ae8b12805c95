// Package integration holds the tests that run the real programs as separate
// processes on loopback and cause failures: killed and frozen processes, cut
// links and platform outages. It has no code outside its tests.
package integration
