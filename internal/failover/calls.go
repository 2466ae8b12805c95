package failover

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
)

const (
	// maxPlatformCalls bounds the concurrent calls of this VM. Failure: after an
	// outage, the platform gets a commit and a read of every group from every VM
	// at once.
	maxPlatformCalls = 8
	// callReportPeriod is how often the call counts are logged.
	callReportPeriod = time.Minute
)

// limitedTable counts this VM's calls to the platform's table and bounds how many
// run at a time.
type limitedTable struct {
	table     platform.Table
	semaphore chan struct{}

	reads, commits, failed atomic.Uint64
}

func newLimitedTable(t platform.Table) *limitedTable {
	return &limitedTable{table: t, semaphore: make(chan struct{}, maxPlatformCalls)}
}

// Scan implements platform.Table.
func (c *limitedTable) Scan(ctx context.Context, prefix string, since uint64) ([]platform.Row, uint64, error) {
	if err := c.acquire(ctx); err != nil {
		return nil, 0, err
	}
	defer c.release()
	c.reads.Add(1)
	rows, revision, err := c.table.Scan(ctx, prefix, since)
	c.countFailure(err)
	return rows, revision, err
}

// Commit implements platform.Table. A commit whose context ends while it waits for
// its turn is not sent.
func (c *limitedTable) Commit(ctx context.Context, txn platform.Txn) (platform.Outcome, error) {
	if err := c.acquire(ctx); err != nil {
		return platform.Outcome{}, err
	}
	defer c.release()
	c.commits.Add(1)
	out, err := c.table.Commit(ctx, txn)
	c.countFailure(err)
	return out, err
}

func (c *limitedTable) acquire(ctx context.Context) error {
	select {
	case c.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), "wait for the platform"), platform.ErrUnavailable)
	}
}

func (c *limitedTable) release() { <-c.semaphore }

func (c *limitedTable) countFailure(err error) {
	if err != nil {
		c.failed.Add(1)
	}
}

// reportPlatform logs how often this VM called the platform since its start.
func (d *Driver) reportPlatform(context.Context) {
	d.o.Log.Info("event=platform_calls", "reads", d.table.reads.Load(), "commits", d.table.commits.Load(),
		"failed", d.table.failed.Load())
}
