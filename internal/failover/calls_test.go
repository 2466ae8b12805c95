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

// slowTable blocks each commit until proceed is closed.
type slowTable struct {
	*platform.Memory
	inFlight, peak atomic.Int64
	proceed        chan struct{}
}

func (s *slowTable) Commit(ctx context.Context, txn platform.Txn) (platform.Outcome, error) {
	now := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	for peak := s.peak.Load(); now > peak && !s.peak.CompareAndSwap(peak, now); peak = s.peak.Load() {
	}
	<-s.proceed
	return s.Memory.Commit(ctx, txn)
}

// racedTable applies each commit a first time just before it, as an earlier
// attempt of the same commit would.
type racedTable struct{ *platform.Memory }

func (r racedTable) Commit(ctx context.Context, txn platform.Txn) (platform.Outcome, error) {
	if _, err := r.Memory.Commit(ctx, txn); err != nil {
		return platform.Outcome{}, err
	}
	return r.Memory.Commit(ctx, txn)
}

// storeRow stores the group's row with the given version.
func storeRow(table platform.Table, version uint64, change string) *topology.Group {
	row := &topology.Group{ID: "s/g", Version: version, Term: 1, Primary: "db0", ChangeID: change}
	value, err := json.Marshal(row)
	Expect(err).NotTo(HaveOccurred())
	out, err := table.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: groupPrefix + "s/g", Value: value}}})
	Expect(err).NotTo(HaveOccurred())
	Expect(out.Committed).To(BeTrue())
	return row
}

func driverOver(t platform.Table) *Driver {
	return &Driver{o: Options{Publish: func(platform.Row) {}}, table: newLimitedTable(t)}
}

var _ = Describe("platform calls", func() {
	// The platform hangs while many groups want to commit. Above the bound a commit
	// waits, and one that times out there was not sent, so it may be given up.
	It("are bounded, and a commit that times out before its turn is not sent", func() {
		table := &slowTable{Memory: platform.NewMemory(), proceed: make(chan struct{})}
		c := newLimitedTable(table)
		done := make(chan error)
		for range 2 * maxPlatformCalls {
			go func() {
				_, err := c.Commit(context.Background(), platform.Txn{})
				done <- err
			}()
		}
		Eventually(table.inFlight.Load).Should(BeEquivalentTo(maxPlatformCalls))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := c.Commit(ctx, platform.Txn{})
		Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
		close(table.proceed)
		for range 2 * maxPlatformCalls {
			Eventually(done).Should(Receive(BeNil()))
		}
		Expect(table.peak.Load()).To(BeEquivalentTo(maxPlatformCalls))
		Expect(c.commits.Load()).To(BeEquivalentTo(2 * maxPlatformCalls))
	})
})

var _ = Describe("a commit of a row", func() {
	next := func(change string) *topology.Group {
		return &topology.Group{ID: "s/g", Version: 2, Term: 2, Primary: "db1", ChangeID: change}
	}

	It("reports a conflict when another row is in place", func() {
		table := platform.NewMemory()
		storeRow(table, 1, "first")
		storeRow(table, 2, "another")
		res := driverOver(table).tryCommit(context.Background(), next("mine"))
		Expect(res.Status).To(Equal(authority.Conflict))
		Expect(res.Row.ChangeID).To(Equal("another"))
	})

	// The response to the first attempt was lost and the promoter tries again. Its own
	// row in place means that the promotion is committed. If that counted as a conflict,
	// nobody would promote the replica, and callers' writes would wait for the next
	// periodic check.
	It("succeeds when its own earlier attempt is in place", func() {
		table := platform.NewMemory()
		storeRow(table, 2, "mine")
		res := driverOver(table).tryCommit(context.Background(), next("mine"))
		Expect(res.Status).To(Equal(authority.Committed))
	})

	// The same, but the earlier attempt takes effect between the read and the commit.
	It("succeeds when its own earlier attempt takes effect after the read", func() {
		table := platform.NewMemory()
		storeRow(table, 1, "first")
		res := driverOver(racedTable{table}).tryCommit(context.Background(), next("mine"))
		Expect(res.Status).To(Equal(authority.Committed))
	})
})
