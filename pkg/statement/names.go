package statement

// Bounds on the statements that are prepared on one connection. A session's statements always fit into one transaction,
// in which a connection can't be reset.
const (
	MaxNames = 200
	// MaxNamesBytes is the size of their shapes in bytes. Two full sessions that take turns cause no reset at each turn.
	MaxNamesBytes = 2 * MaxBytes
)

// Names assigns names to the statements that are prepared on one connection. Each statement is looked up as a whole, and
// a name is never assigned twice: sessions share connections, so a name that stood for two statements would run
// another session's statement.
// The zero value is ready to use.
type Names struct {
	byStatement map[Prepared]string
	assigned    uint64
	// bytes is the size of the shapes.
	bytes int
}

// Lookup returns the name under which the statement is prepared, and false if it isn't.
func (n *Names) Lookup(p Prepared) (string, bool) {
	name, ok := n.byStatement[p]
	return name, ok
}

// IsFull reports whether another statement would exceed the bounds. In a transaction they are higher by those of a
// session. The only statement of a connection may exceed the bound in bytes.
func (n *Names) IsFull(p Prepared, inTransaction bool) bool {
	most, mostBytes := MaxNames, MaxNamesBytes
	if inTransaction {
		most, mostBytes = most+MaxPrepared, mostBytes+MaxBytes
	}
	return len(n.byStatement) >= most || len(n.byStatement) > 0 && n.bytes+len(p.Shape) > mostBytes
}

// Next returns a name that has never been assigned.
func (n *Names) Next() string {
	const letters = 'z' - 'a' + 1
	var name []byte
	for rest := n.assigned; ; rest /= letters {
		name = append(name, 'a'+byte(rest%letters))
		if rest < letters {
			break
		}
	}
	n.assigned++
	return string(name)
}

// Add records that the statement is prepared under a name from Next.
func (n *Names) Add(p Prepared, name string) {
	if n.byStatement == nil {
		n.byStatement = map[Prepared]string{}
	}
	n.byStatement[p] = name
	n.bytes += len(p.Shape)
}

// Clear forgets all statements. Their names are not assigned again.
func (n *Names) Clear() { n.byStatement, n.bytes = nil, 0 }
