package metrics

// Names of the metrics for messages between VMs and their tag.
const (
	PeerMessages = "peer_messages"
	PeerBytes    = "peer_bytes"

	TagKind = "kind"
)

// Peers records the messages that this VM sends to others. A nil Peers records nothing.
type Peers struct{ scopes scopes }

// NewPeers returns a recorder that reports to the registry.
func NewPeers(r *Registry) *Peers { return &Peers{scopes{root: r.scope}} }

// Sent counts messages of one kind and their total bytes. The kinds are fixed in the daemon's code, so the
// number of metrics stays small.
func (p *Peers) Sent(kind string, messages, bytes int) {
	if p == nil {
		return
	}
	scope := p.scopes.get(scopeKey{extraName: TagKind, extra: kind})
	scope.Counter(PeerMessages).Inc(int64(messages))
	scope.Counter(PeerBytes).Inc(int64(bytes))
}
