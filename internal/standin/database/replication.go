package database

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/pkg/position"
)

const (
	startReplication  = "START_REPLICATION "
	heartbeatInterval = 100 * time.Millisecond
	// replicationTimeout is the maximum time that either end waits for a message
	// of the other. After it the connection is closed and the replica reconnects.
	replicationTimeout = 2 * time.Second
	maxBatch           = 512
)

// replicationStart is a follower's request: its id, the term in which it follows
// and its last log index in each term, oldest term first.
type replicationStart struct {
	ID      string      `json:"id"`
	Term    uint64      `json:"term"`
	History []termRange `json:"history"`
}

type termRange struct {
	Term      uint64 `json:"term"`
	LastIndex uint64 `json:"last_index"`
}

// replicationBatch is sent from primary to follower. A batch without entries is
// a heartbeat. The first batch carries the last index common to both logs.
type replicationBatch struct {
	Common  *uint64           `json:"common,omitempty"`
	Entries []Entry           `json:"entries,omitempty"`
	Newest  position.Position `json:"newest"`
}

// replicationAck is sent from follower to primary.
type replicationAck struct {
	Applied position.Position `json:"applied"`
}

// history returns the last index of each term in the log.
func history(entries []Entry) []termRange {
	var out []termRange
	for _, e := range entries {
		if n := len(out); n > 0 && out[n-1].Term == e.Term {
			out[n-1].LastIndex = e.Index
			continue
		}
		out = append(out, termRange{Term: e.Term, LastIndex: e.Index})
	}
	return out
}

// lastCommon returns the last index that two logs have in common. A term has
// only one primary, so two logs with entries of the same term are equal up to
// the lower of their last indexes in that term.
func lastCommon(a, b []termRange) uint64 {
	lastIndexes := map[uint64]uint64{}
	for _, r := range a {
		lastIndexes[r.Term] = r.LastIndex
	}
	for i := len(b) - 1; i >= 0; i-- {
		if last, ok := lastIndexes[b[i].Term]; ok {
			return min(last, b[i].LastIndex)
		}
	}
	return 0
}

// serveReplication streams the log to one follower until the connection ends
// or the database is no longer the primary of the follower's term.
func (c *conn) serveReplication() {
	msg, ok := c.receive()
	if !ok {
		return
	}
	q, ok := msg.(*pgproto3.Query)
	if !ok || !strings.HasPrefix(q.String, startReplication) {
		c.fatal(sqlError(CodeProtocol, "expected %s", startReplication))
		return
	}
	var start replicationStart
	if err := json.Unmarshal([]byte(strings.TrimPrefix(q.String, startReplication)), &start); err != nil {
		c.fatal(sqlError(CodeProtocol, "replication start: %v", err))
		return
	}
	s := &sender{conn: c, db: c.db, start: start}
	if err := s.begin(); err != nil {
		c.fatal(err)
		return
	}
	acks := make(chan struct{})
	go func() {
		defer close(acks)
		s.receiveAcks()
	}()
	s.stream()
	c.abort(errClosed)
	<-acks
}

// sender is the primary's end of a replication connection.
type sender struct {
	conn  *conn
	db    *Database
	start replicationStart
	next  uint64 // index of the next entry to send
}

func (s *sender) begin() error {
	d := s.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role != RolePrimary || d.term != s.start.Term {
		return sqlError(CodeTermRefused, "cannot stream in term %d: the database is %s in term %d",
			s.start.Term, d.role, d.term)
	}
	common := lastCommon(history(d.entries), s.start.History)
	s.next = common + 1
	s.conn.send(&pgproto3.CopyBothResponse{})
	s.sendBatch(replicationBatch{Common: &common, Newest: d.positionLocked()})
	return nil
}

func (s *sender) sendBatch(b replicationBatch) {
	raw, err := json.Marshal(b)
	invariant(err == nil, "batch cannot be encoded: %v", err)
	s.conn.send(&pgproto3.CopyData{Data: raw})
}

func (s *sender) stream() {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		batch, changed, ok := s.collect()
		if !ok {
			s.conn.fatal(sqlError(CodeTermRefused, "no longer the primary of term %d", s.start.Term))
			return
		}
		s.sendBatch(batch)
		if err := s.conn.flush(); err != nil {
			return
		}
		if len(batch.Entries) == maxBatch {
			continue
		}
		if !s.await(changed, heartbeat.C) {
			return
		}
	}
}

// await returns true when there may be an entry to send, a heartbeat is due or
// the term has ended, and false when the connection has ended.
func (s *sender) await(changed <-chan struct{}, heartbeat <-chan time.Time) bool {
	for {
		select {
		case <-changed:
			var more, ok bool
			if changed, more, ok = s.peek(); more || !ok {
				return true
			}
		case <-heartbeat:
			return true
		case <-s.conn.ctx.Done():
			return false
		}
	}
}

func (s *sender) isCurrent() bool {
	return s.db.role == RolePrimary && s.db.term == s.start.Term
}

func (s *sender) peek() (changed <-chan struct{}, more, ok bool) {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	return s.db.changed, s.next <= uint64(len(s.db.entries)), s.isCurrent()
}

// collect returns the next entries to send, at most maxBatch. changed is closed at
// the next change of the database. ok is false if the term has ended.
func (s *sender) collect() (batch replicationBatch, changed <-chan struct{}, ok bool) {
	d := s.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if !s.isCurrent() {
		return batch, nil, false
	}
	end := min(uint64(len(d.entries)), s.next-1+maxBatch)
	batch.Entries = d.entries[s.next-1 : end : end]
	batch.Newest = d.positionLocked()
	s.next = end + 1
	return batch, d.changed, true
}

func (s *sender) receiveAcks() {
	defer s.conn.abort(errClosed)
	defer s.db.forgetAck(s.start.ID, s.conn)
	for {
		msg, ok := s.conn.receiveWithin(replicationTimeout)
		if !ok {
			return
		}
		data, ok := msg.(*pgproto3.CopyData)
		if !ok {
			return
		}
		var ack replicationAck
		if err := json.Unmarshal(data.Data, &ack); err != nil {
			return
		}
		s.db.acknowledge(s, ack.Applied)
	}
}

// acknowledge records the position that a follower has applied.
func (d *Database) acknowledge(s *sender, applied position.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !s.isCurrent() {
		return
	}
	if d.acked[s.start.ID] != applied || d.ackedBy[s.start.ID] != s.conn {
		d.acked[s.start.ID] = applied
		d.ackedBy[s.start.ID] = s.conn
		d.signalLocked()
	}
}

// forgetAck removes the acknowledgement that a follower sent on c, but not one
// from a newer connection of the same follower.
func (d *Database) forgetAck(id string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ackedBy[id] == c {
		delete(d.acked, id)
		delete(d.ackedBy, id)
	}
}
