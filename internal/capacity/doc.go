// Package capacity measures the resource use of a daemon: it starts small deployments
// of the real programs on loopback, varies one size at a time and fits the slopes that
// docs/CAPACITY.md quotes. It is not part of a production deployment.
package capacity
