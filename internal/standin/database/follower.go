package database

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	followRetryDelay  = 100 * time.Millisecond
	delayPollInterval = 10 * time.Millisecond
)

// follower replicates the log of the primary to a replica. If it cannot reach
// the primary or decode its messages, the replica's state is unchanged and still
// serves reads.
type follower struct {
	db       *Database
	term     uint64
	upstream endpoint
	stop     context.CancelFunc
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.stream(ctx)
		if ctx.Err() != nil {
			return
		}
		f.db.cfg.Log.Debug("replication connection failed", "event", "replication_broken", "id", f.db.cfg.ID,
			"primary", f.upstream.ID, "error", err)
		select {
		case <-time.After(followRetryDelay):
		case <-ctx.Done():
		}
	}
}

// stream replicates over one connection to the primary until it ends.
func (f *follower) stream(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	dialer := net.Dialer{Timeout: replicationTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", f.upstream.Address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	defer nc.Close()
	link := &followerLink{nc: nc, fe: pgproto3.NewFrontend(nc, nc)}
	if err := f.startUp(link); err != nil {
		return err
	}
	received := newBatchQueue()
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		f.applyAll(ctx, link, received)
		cancel()
	}()
	err = f.receiveAll(link, received)
	cancel()
	<-applied
	return err
}

func (f *follower) startUp(link *followerLink) error {
	link.fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": f.db.cfg.ID, paramReplication: valueOn},
	})
	if err := link.flush(); err != nil {
		return err
	}
	if err := link.skipUntilReady(); err != nil {
		return err
	}
	f.db.mu.Lock()
	start := replicationStart{ID: f.db.cfg.ID, Term: f.term, History: history(f.db.entries)}
	f.db.mu.Unlock()
	raw, err := json.Marshal(start)
	if err != nil {
		return err
	}
	link.fe.Send(&pgproto3.Query{String: startReplication + string(raw)})
	return link.flush()
}

func (f *follower) receiveAll(link *followerLink, received *batchQueue) error {
	for {
		msg, err := link.receive()
		if err != nil {
			return err
		}
		data, ok := msg.(*pgproto3.CopyData)
		if !ok {
			continue
		}
		b := timedBatch{receivedAt: time.Now()}
		if err := json.Unmarshal(data.Data, &b.replicationBatch); err != nil {
			return errors.Wrap(err, "decoding a replication batch")
		}
		if b.Common == nil && len(b.Entries) == 0 {
			// A heartbeat is answered at once, ahead of entries queued for the
			// replication delay. Otherwise the primary would time out and close
			// the connection.
			if err := f.acknowledge(link); err != nil {
				return err
			}
			continue
		}
		received.push(b)
	}
}

func (f *follower) applyAll(ctx context.Context, link *followerLink, received *batchQueue) {
	for {
		b, ok := received.pop(ctx)
		if !ok || !f.awaitDelay(ctx, b.receivedAt) || !f.apply(b.replicationBatch) {
			return
		}
		if f.acknowledge(link) != nil {
			return
		}
	}
}

// awaitDelay waits until the replication delay has passed since received. It
// polls, because the delay may be changed meanwhile.
func (f *follower) awaitDelay(ctx context.Context, received time.Time) bool {
	for {
		delay := time.Duration(f.db.replicationDelay.Load())
		left := time.Until(received.Add(delay))
		if left <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-time.After(min(left, delayPollInterval)):
		case <-ctx.Done():
			return false
		}
	}
}

// apply adds the entries of a batch to the log. It returns false if f is no
// longer the database's follower: entries still in flight from an old primary
// would otherwise be appended after a promotion.
func (f *follower) apply(b replicationBatch) bool {
	d := f.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.following != f {
		return false
	}
	if b.Common != nil {
		d.cfg.Log.Info("replication started", "event", "replication_started", "id", d.cfg.ID,
			"primary", f.upstream.ID, "term", f.term, "common", *b.Common, "newest", b.Newest.String())
		d.cutLocked(*b.Common)
	}
	if len(b.Entries) > 0 {
		d.appendLocked(b.Entries...)
	}
	return true
}

func (f *follower) acknowledge(link *followerLink) error {
	raw, err := json.Marshal(replicationAck{Applied: f.db.Position()})
	if err != nil {
		return err
	}
	return link.sendCopy(raw)
}

// followerLink is the replica's end of a replication connection. One goroutine
// may receive; several may send.
type followerLink struct {
	nc net.Conn
	mu sync.Mutex
	fe *pgproto3.Frontend
}

func (l *followerLink) flush() error {
	if err := l.nc.SetWriteDeadline(time.Now().Add(replicationTimeout)); err != nil {
		return err
	}
	return l.fe.Flush()
}

func (l *followerLink) sendCopy(raw []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fe.Send(&pgproto3.CopyData{Data: raw})
	return l.flush()
}

// receive returns the next message. It returns an ErrorResponse as an error.
func (l *followerLink) receive() (pgproto3.BackendMessage, error) {
	if err := l.nc.SetReadDeadline(time.Now().Add(replicationTimeout)); err != nil {
		return nil, err
	}
	msg, err := l.fe.Receive()
	if err != nil {
		return nil, err
	}
	if resp, ok := msg.(*pgproto3.ErrorResponse); ok {
		return nil, &SQLError{Code: Code(resp.Code), Message: resp.Message}
	}
	return msg, nil
}

func (l *followerLink) skipUntilReady() error {
	for {
		msg, err := l.receive()
		if err != nil {
			return err
		}
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return nil
		}
	}
}
