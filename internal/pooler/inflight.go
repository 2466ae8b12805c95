package pooler

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// flight is an exchange with a primary that has not been answered yet.
type flight struct {
	group topology.GroupID
	term  uint64
	conn  *conn
}

// flights holds the exchanges under way with primaries. Safe for concurrent use.
type flights struct {
	mu   sync.Mutex
	open map[*flight]struct{}
}

// add registers an exchange; the caller removes it by the returned function.
func (f *flights) add(req *request, c *conn) (remove func()) {
	if req.Term == 0 {
		return func() {}
	}
	fl := &flight{group: req.group, term: req.Term, conn: c}
	f.mu.Lock()
	if f.open == nil {
		f.open = map[*flight]struct{}{}
	}
	f.open[fl] = struct{}{}
	f.mu.Unlock()
	return func() {
		f.mu.Lock()
		delete(f.open, fl)
		f.mu.Unlock()
	}
}

// cut ends the exchanges whose group has gone on to another term. A frozen
// primary would hold them to their deadlines; its answer could not be
// acknowledged any more, so the caller is told at once that it is unknown.
func (f *flights) cut(d Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for fl := range f.open {
		if row := d.Group(fl.group); row != nil && row.Term > fl.term {
			_ = fl.conn.net.SetDeadline(time.Now())
		}
	}
}
