package statement

// Names assigns names to the statements that are prepared on one connection. Each statement is looked up as a whole, and
// a name is never assigned twice: sessions share connections, so a name that stood for two statements would run
// another session's statement.
// The zero value is ready to use.
type Names struct {
	byStatement map[Prepared]string
	assigned    uint64
}

// Lookup returns the name under which the statement is prepared, and false if it isn't.
func (n *Names) Lookup(p Prepared) (string, bool) {
	name, ok := n.byStatement[p]
	return name, ok
}

// Len returns the number of prepared statements.
func (n *Names) Len() int { return len(n.byStatement) }

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
}

// Clear forgets all statements. Their names are not assigned again.
func (n *Names) Clear() { n.byStatement = nil }
