package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// answerSlack is how much longer than the command's remaining time an answer may take: the
// round trip between two VMs.
const answerSlack = 20 * time.Millisecond

const (
	// maxHoldersTried is how many holders are tried for one connection, and holderTimeout bounds
	// each try: together they take no longer than a pool's dial timeout.
	maxHoldersTried = 3
	holderTimeout   = 130 * time.Millisecond
)

// Driver connects to a target directly if this VM is one of its holders, and otherwise through
// a holder.
type Driver struct {
	directory *directory.Directory
	direct    target.Driver
	dialer    net.Dialer

	mu sync.Mutex
	// unreachable contains the holders that could not be reached, and until when they are tried
	// last.
	unreachable map[topology.VMID]time.Time
}

// NewDriver returns a driver that uses direct for the targets of which this VM is a holder.
func NewDriver(d *directory.Directory, direct target.Driver) *Driver {
	return &Driver{directory: d, direct: direct, dialer: target.Dialer(), unreachable: map[topology.VMID]time.Time{}}
}

// Dial implements target.Driver.
func (d *Driver) Dial(ctx context.Context, t topology.Target, customer topology.CustomerID) (target.Conn, error) {
	holders := d.directory.Holders(t)
	if slices.Contains(holders, d.directory.Self().ID) || len(holders) == 0 {
		return d.direct.Dial(ctx, t, customer)
	}
	// An unreachable holder shows nothing of the target's state, hence a result code of its own.
	err := error(result.New(result.PoolerUnreachable, "no VM holds connections to %s", t.ID))
	for _, id := range d.candidates(t, customer, holders) {
		vm, ok := d.directory.VM(id)
		if !ok {
			continue
		}
		var c *conn
		if c, err = d.dialHolder(ctx, vm, t.ID); err == nil {
			return c, nil
		}
		var refusal *result.Error
		if errors.As(err, &refusal) && refusal.Code != result.WrongPooler || ctx.Err() != nil {
			return nil, err // The holder answered, or no time is left.
		}
		d.markUnreachable(id)
	}
	return nil, err
}

// candidates returns the holders to try, in order: the customer's holder first, or in random order, which spreads
// the load, if customers have none.
func (d *Driver) candidates(t topology.Target, customer topology.CustomerID, holders []topology.VMID) []topology.VMID {
	var ordered []topology.VMID
	if d.directory.HolderFor(t, customer) != "" {
		ordered = placement.ForCustomer(t.ID, customer, holders)
	} else {
		ordered = slices.Clone(holders)
		rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	}
	ordered = d.reachableFirst(ordered)
	return ordered[:min(len(ordered), maxHoldersTried)]
}

// unreachableFor is how long a holder that could not be reached is tried last: otherwise each request
// that prefers it would wait for a dial timeout until the VM is known to be dead.
const unreachableFor = time.Second

func (d *Driver) markUnreachable(id topology.VMID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachable[id] = time.Now().Add(unreachableFor)
}

// reachableFirst moves the holders that recently could not be reached to the end.
func (d *Driver) reachableFirst(ids []topology.VMID) []topology.VMID {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var first, last []topology.VMID
	for _, id := range ids {
		until, ok := d.unreachable[id]
		switch {
		case ok && now.Before(until):
			last = append(last, id)
			continue
		case ok:
			delete(d.unreachable, id)
		}
		first = append(first, id)
	}
	return append(first, last...)
}

func (d *Driver) dialHolder(ctx context.Context, vm topology.VM, id topology.TargetID) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	nc, err := d.dialer.DialContext(ctx, "tcp", vm.PeerAddress)
	if err != nil {
		return nil, err
	}
	target.LimitSilence(nc)
	c := &conn{nc: nc, stream: newStream(nc)}
	if err := c.open(ctx, id); err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// conn is a connection to a holder. Only one goroutine may use it at a time.
type conn struct {
	nc     net.Conn
	stream *stream
	// pending is set while the response to the last request has not been read.
	pending bool
	// evidence is what the last response shows of the target's state.
	evidence target.Evidence
}

// Evidence implements target.IndirectConn.
func (c *conn) Evidence() target.Evidence { return c.evidence }

func (c *conn) Close() { c.nc.Close() }

func (c *conn) open(ctx context.Context, id topology.TargetID) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.nc.SetDeadline(deadline) // If the connection is closed, the next call fails.
	}
	if err := c.stream.send(openRequest{Target: id}); err != nil {
		return err
	}
	r, err := c.receive()
	if err != nil {
		return err
	}
	if r.Failure != nil {
		return r.Failure
	}
	return nil
}

func (c *conn) receive() (*response, error) {
	r := &response{}
	if err := c.stream.receive(r); err != nil {
		return nil, err
	}
	c.pending, c.evidence = false, target.Evidence{Direct: true}
	if r.HolderEvidence != nil {
		c.evidence = *r.HolderEvidence
	}
	return r, nil
}

// Run implements target.Conn.
func (c *conn) Run(deadline time.Time, cmd target.Command) (statement.Answer, error) {
	if err := c.nc.SetDeadline(deadline.Add(answerSlack)); err != nil {
		return statement.Answer{}, err
	}
	c.pending = true
	if err := c.stream.send(request{Command: cmd, Remaining: time.Until(deadline)}); err != nil {
		return statement.Answer{}, err
	}
	return c.result()
}

func (c *conn) result() (statement.Answer, error) {
	r, err := c.receive()
	switch {
	case err != nil:
		return statement.Answer{}, err
	case r.Late:
		return statement.Answer{}, os.ErrDeadlineExceeded
	case r.Lost != "":
		return statement.Answer{}, errors.Newf("beyond the holder: %s", r.Lost)
	}
	return r.answer(), nil
}

// Finish implements target.Conn. After a late answer the holder has already released its
// connection to the target, which rolled back an open transaction.
func (c *conn) Finish(deadline time.Time) (statement.Answer, error) {
	if !c.pending {
		return statement.Done(statement.Idle), nil
	}
	if err := c.nc.SetDeadline(deadline); err != nil {
		return statement.Answer{}, err
	}
	a, err := c.result()
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.pending {
		return statement.Done(statement.Idle), nil
	}
	return a, err
}
