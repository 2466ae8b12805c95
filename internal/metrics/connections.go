package metrics

// Names of the metrics for the connections to targets and their tag. Connections through other VMs are not counted.
const (
	TargetConnections       = "target_connections"
	TargetConnectionsOpened = "target_connections_opened"
	TargetConnectionsReused = "target_connections_reused"
	TargetConnectionsClosed = "target_connections_closed"

	TagReason = "reason"
)

// Connections records the connections that this VM opens to targets. A nil Connections records nothing.
type Connections struct{ scopes scopes }

// NewConnections returns a recorder that reports to the registry.
func NewConnections(r *Registry) *Connections { return &Connections{scopes{root: r.scope}} }

// Opened counts an opened connection. open is the number of connections to the target that are now open.
func (c *Connections) Opened(target string, open int) {
	if c == nil {
		return
	}
	scope := c.scopes.get(scopeKey{extraName: TagTarget, extra: target})
	scope.Counter(TargetConnectionsOpened).Inc(1)
	scope.Gauge(TargetConnections).Update(float64(open))
}

// Reused counts a request that was given a connection which had served another.
func (c *Connections) Reused(target string) {
	if c == nil {
		return
	}
	c.scopes.get(scopeKey{extraName: TagTarget, extra: target}).Counter(TargetConnectionsReused).Inc(1)
}

// Closed counts a closed connection by the reason for which it was closed. The reasons are fixed in the daemon's code,
// so the number of metrics stays small. open is the number of connections to the target that are still open.
func (c *Connections) Closed(target, reason string, open int) {
	if c == nil {
		return
	}
	c.scopes.get(scopeKey{extraName: TagTarget, extra: target}).Gauge(TargetConnections).Update(float64(open))
	c.scopes.get(scopeKey{extraName: TagTarget, extra: target, reason: reason}).Counter(TargetConnectionsClosed).Inc(1)
}
