package failover

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// slowTable holds each commit until it may go on.
type slowTable struct {
	*platform.Memory
	open, most atomic.Int64
	goOn       chan struct{}
}

func (s *slowTable) Commit(ctx context.Context, txn platform.Txn) (platform.Outcome, error) {
	now := s.open.Add(1)
	defer s.open.Add(-1)
	for most := s.most.Load(); now > most && !s.most.CompareAndSwap(most, now); most = s.most.Load() {
	}
	<-s.goOn
	return s.Memory.Commit(ctx, txn)
}

// racedTable lets an earlier try of the same commit take effect just before it.
type racedTable struct{ *platform.Memory }

func (r racedTable) Commit(ctx context.Context, txn platform.Txn) (platform.Outcome, error) {
	if _, err := r.Memory.Commit(ctx, txn); err != nil {
		return platform.Outcome{}, err
	}
	return r.Memory.Commit(ctx, txn)
}

// rowAt stores the group's row of a version.
func rowAt(table platform.Table, version uint64, change string) *topology.Group {
	row := &topology.Group{ID: "s/g", Version: version, Term: 1, Primary: "db0", ChangeID: change}
	value, err := json.Marshal(row)
	Expect(err).NotTo(HaveOccurred())
	out, err := table.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: groupPrefix + "s/g", Value: value}}})
	Expect(err).NotTo(HaveOccurred())
	Expect(out.Committed).To(BeTrue())
	return row
}

func driverOver(t platform.Table) *Driver {
	return &Driver{o: Options{Publish: func(platform.Row) {}}, table: newCalls(t)}
}

var _ = Describe("platform calls", func() {
	// The platform hangs while many groups want to commit. Past the bound a commit
	// waits, and one that runs out of time there was not sent: it may be given up.
	It("are a few at a time, and a commit without a place was not sent", func() {
		table := &slowTable{Memory: platform.NewMemory(), goOn: make(chan struct{})}
		c := newCalls(table)
		done := make(chan error)
		for range 2 * maxPlatformCalls {
			go func() {
				_, err := c.Commit(context.Background(), platform.Txn{})
				done <- err
			}()
		}
		Eventually(table.open.Load).Should(BeEquivalentTo(maxPlatformCalls))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := c.Commit(ctx, platform.Txn{})
		Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
		close(table.goOn)
		for range 2 * maxPlatformCalls {
			Eventually(done).Should(Receive(BeNil()))
		}
		Expect(table.most.Load()).To(BeEquivalentTo(maxPlatformCalls))
		Expect(c.commits.Load()).To(BeEquivalentTo(2 * maxPlatformCalls))
	})
})

var _ = Describe("a commit of a row", func() {
	next := func(change string) *topology.Group {
		return &topology.Group{ID: "s/g", Version: 2, Term: 2, Primary: "db1", ChangeID: change}
	}

	It("tells of another's row in place", func() {
		table := platform.NewMemory()
		rowAt(table, 1, "first")
		rowAt(table, 2, "another")
		res := driverOver(table).tryCommit(context.Background(), next("mine"))
		Expect(res.Status).To(Equal(authority.Conflict))
		Expect(res.Row.ChangeID).To(Equal("another"))
	})

	// The answer to the first try was lost and the promoter tries again. Its own
	// row in place means that it has promoted; taken for a conflict, nobody would
	// tell the replica, and callers' writes would wait for the next look.
	It("finds its own earlier try in place", func() {
		table := platform.NewMemory()
		rowAt(table, 2, "mine")
		res := driverOver(table).tryCommit(context.Background(), next("mine"))
		Expect(res.Status).To(Equal(authority.Committed))
	})

	// The same, but the earlier try takes effect between the read and the commit.
	It("finds its own earlier try that came in between", func() {
		table := platform.NewMemory()
		rowAt(table, 1, "first")
		res := driverOver(racedTable{table}).tryCommit(context.Background(), next("mine"))
		Expect(res.Status).To(Equal(authority.Committed))
	})
})
