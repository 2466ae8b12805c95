package failover

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
)

const (
	// maxPlatformCalls bounds the calls under way. Failure: the platform returns
	// from an outage and meets a commit and a read of every group of every VM.
	maxPlatformCalls = 8
	// reportCalls is how often the counts are logged.
	reportCalls = time.Minute
)

// calls are this VM's calls to the platform's table: counted, and a few at a time.
type calls struct {
	table  platform.Table
	places chan struct{}

	reads, commits, failed atomic.Uint64
}

func newCalls(t platform.Table) *calls {
	return &calls{table: t, places: make(chan struct{}, maxPlatformCalls)}
}

// Scan implements platform.Table.
func (c *calls) Scan(ctx context.Context, prefix string, since uint64) ([]platform.Row, uint64, error) {
	if err := c.enter(ctx); err != nil {
		return nil, 0, err
	}
	defer c.leave()
	c.reads.Add(1)
	rows, revision, err := c.table.Scan(ctx, prefix, since)
	c.count(err)
	return rows, revision, err
}

// Commit implements platform.Table. One that found no place was not sent.
func (c *calls) Commit(ctx context.Context, txn platform.Txn) (platform.Outcome, error) {
	if err := c.enter(ctx); err != nil {
		return platform.Outcome{}, err
	}
	defer c.leave()
	c.commits.Add(1)
	out, err := c.table.Commit(ctx, txn)
	c.count(err)
	return out, err
}

func (c *calls) enter(ctx context.Context) error {
	select {
	case c.places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), "wait for the platform"), platform.ErrUnavailable)
	}
}

func (c *calls) leave() { <-c.places }

func (c *calls) count(err error) {
	if err != nil {
		c.failed.Add(1)
	}
}

// reportPlatform logs how often this VM called the platform since its start.
func (d *Driver) reportPlatform(context.Context) {
	d.o.Log.Info("event=platform_calls", "reads", d.table.reads.Load(), "commits", d.table.commits.Load(),
		"failed", d.table.failed.Load())
}
