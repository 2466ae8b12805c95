package database_test

import (
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/standin/database"
)

// follow sends the control statement that makes db a replica of primary.
func follow(db, primary *database.Database, term uint64) {
	GinkgoHelper()
	id := primary.Status().ID
	row := status(control(db), fmt.Sprintf("BTS FOLLOW %d %s %s", term, id, primary.Address()))
	Expect(row["role"]).To(Equal("replica"))
}

// status runs a control statement that returns the status row.
func status(c *pgx.Conn, sql string) map[string]string {
	GinkgoHelper()
	rows, err := c.Query(ctx, sql, pgx.QueryExecModeSimpleProtocol)
	Expect(err).NotTo(HaveOccurred())
	row, err := pgx.CollectExactlyOneRow(rows, pgx.RowToMap)
	Expect(err).NotTo(HaveOccurred())
	out := map[string]string{}
	for name, value := range row {
		out[name] = value.(string)
	}
	return out
}

const showStatus = "SHOW buckthornshore.status"

var _ = Describe("Replication", func() {
	var primary, replica *database.Database
	BeforeEach(func() {
		primary = startPrimary(database.Config{ID: "a"})
		replica = start(database.Config{ID: "b"})
	})

	It("replicates to a replica, which refuses writes", func() {
		w := connect(primary)
		run(w, "insert into t (k, v) values ('x', '1')")
		follow(replica, primary, 1)
		run(w, "update t set v = '2' where k = 'x'")
		r := connect(replica)
		Eventually(func() string { return get(r, "x") }).Should(Equal("2"))
		Expect(execCode(r, "delete from t where k = 'x'")).To(Equal("25006"))
		Eventually(func() string { return status(control(primary), showStatus)["replicas"] }).Should(Equal("b=1/3"))
	})

	It("completes a commit when the named replicas hold it", func() {
		follow(replica, primary, 1)
		w := connect(primary)
		run(w, "set buckthornshore.wait_for = 'b'")
		run(w, "set buckthornshore.wait_timeout_ms = 10000")
		run(w, "insert into t (k, v) values ('x', '1')")
		Expect(get(connect(replica), "x")).To(Equal("1"))
	})

	// The primary commits and waits for replicas that do not follow it. The timeout
	// ends the wait but cannot undo the commit, so the caller gets warning BT208
	// and the write stays. In a transaction, COMMIT returns the warning.
	It("returns warning BT208 for a commit that is not replicated in time", func() {
		var warnings []string
		w := connectWithNotices(primary, &warnings)
		run(w, "set buckthornshore.wait_for = 'b, c'")
		run(w, "set buckthornshore.wait_timeout_ms = '20'")
		run(w, "insert into t (k, v) values ('x', '1')")
		Expect(warnings).To(Equal([]string{"BT208"}))
		run(w, "begin")
		run(w, "insert into t (k, v) values ('y', '1')")
		Expect(warnings).To(HaveLen(1))
		run(w, "commit")
		Expect(warnings).To(Equal([]string{"BT208", "BT208"}))
		Expect(w.PgConn().TxStatus()).To(BeEquivalentTo('I'))
		Expect(get(w, "x") + get(w, "y")).To(Equal("11"))
	})

	It("applies entries after the replication delay", func() {
		follow(replica, primary, 1)
		Eventually(replica.Position).Should(Equal(primary.Position()))
		run(control(replica), "BTS SET replication_delay 1h", pgx.QueryExecModeSimpleProtocol)
		w, r := connect(primary), connect(replica)
		run(w, "insert into t (k, v) values ('x', '1')")
		Consistently(func() string { return get(r, "x") }, 200*time.Millisecond).Should(BeEmpty())
		run(control(replica), "BTS SET replication_delay 0s", pgx.QueryExecModeSimpleProtocol)
		Eventually(func() string { return get(r, "x") }).Should(Equal("1"))
	})

	// The replica is fenced, so the old primary commits "lost" alone, and the
	// replica is promoted without it. When the old primary follows the new one,
	// its log is truncated to the common part and the status shows the first
	// position lost.
	It("discards and reports the surplus of a replaced primary", func() {
		w := connect(primary)
		run(w, "insert into t (k, v) values ('kept', '1')")
		follow(replica, primary, 1)
		Eventually(replica.Position).Should(Equal(primary.Position()))
		Expect(status(control(replica), "BTS FENCE 2")).To(HaveKeyWithValue("role", "fenced"))
		run(w, "insert into t (k, v) values ('lost', '1')")

		Expect(status(control(replica), "BTS PROMOTE 2")).To(HaveKeyWithValue("position", "2/3"))
		run(connect(replica), "insert into t (k, v) values ('new', '1')")
		follow(primary, replica, 2)
		Eventually(primary.Position).Should(Equal(replica.Position()))
		Expect(status(control(primary), showStatus)).To(HaveKeyWithValue("surplus", "1/3"))
		r := connect(primary)
		Expect(get(r, "kept") + get(r, "new")).To(Equal("11"))
		Expect(get(r, "lost")).To(BeEmpty())
	})

	// The primary is down and the replica keeps reconnecting; its own state must
	// stay unchanged and readable.
	It("serves reads while its primary is down", func() {
		run(connect(primary), "insert into t (k, v) values ('x', '1')")
		follow(replica, primary, 1)
		Eventually(replica.Position).Should(Equal(primary.Position()))
		primary.Close()
		r := connect(replica)
		Consistently(func() string { return get(r, "x") }, 300*time.Millisecond).Should(Equal("1"))
	})

	// A device between replica and primary loses the state of the connection: it
	// stays open but delivers nothing, while new connections work. The replica
	// must time out and reconnect instead of serving old data for ever.
	It("replaces a replication connection that delivers nothing", func() {
		link := newForwarder(primary.Address())
		Expect(replica.Follow(1, "a", link.address())).To(Succeed())
		Eventually(replica.Position).Should(Equal(primary.Position()))
		link.silence()
		run(connect(primary), "insert into t (k, v) values ('x', '1')")
		r := connect(replica)
		Expect(get(r, "x")).To(BeEmpty())
		Eventually(func() string { return get(r, "x") }, "20s").Should(Equal("1"))
	})

	// The address of the primary accepts connections but never sends a message.
	// The replica must still serve its state and accept a fence.
	It("serves reads while its primary is frozen", func() {
		run(connect(primary), "insert into t (k, v) values ('x', '1')")
		follow(replica, primary, 1)
		Eventually(replica.Position).Should(Equal(primary.Position()))
		frozen, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(frozen.Close)
		Expect(replica.Follow(2, "c", frozen.Addr().String())).To(Succeed())
		Expect(get(connect(replica), "x")).To(Equal("1"))
		Expect(replica.Fence(3)).To(Succeed())
	})

	It("waits for a primary that is not in its term yet", func() {
		follow(replica, primary, 2)
		Consistently(replica.Position, 200*time.Millisecond).Should(BeZero())
		Expect(primary.Promote(2)).To(Succeed())
		Eventually(replica.Position).Should(Equal(primary.Position()))
	})
})
