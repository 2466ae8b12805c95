// Package capacity measures what a daemon costs: it starts small deployments of
// the real programs on loopback, varies one size at a time and fits the slopes
// that docs/CAPACITY.md quotes. It is no part of a deployment.
package capacity
