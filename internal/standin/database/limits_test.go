package database_test

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/standin/database"
)

var _ = Describe("Limits", func() {
	// With a limit of two, the third caller gets 53300 until another connection
	// closes. Control connections do not count towards the limit.
	It("refuses connections beyond the limit", func() {
		db := startPrimary(database.Config{ID: "a", Connections: 2})
		first := connect(db)
		connect(db)
		_, err := dial(db)
		Expect(code(err)).To(Equal("53300"))
		Expect(status(control(db), showStatus)).To(HaveKeyWithValue("connections", "2"))
		Expect(first.Close(ctx)).To(Succeed())
		Eventually(func() error {
			_, err := dial(db)
			return err
		}).Should(Succeed())
	})

	It("rejects connections while reject_connections is on", func() {
		db := startPrimary(database.Config{ID: "a"})
		ctl := control(db)
		run(ctl, "BTS SET reject_connections on")
		_, err := dial(db)
		Expect(code(err)).To(Equal("57P03"))
		run(ctl, "BTS SET reject_connections off")
		connect(db)
	})

	// The third statement waits while two pg_sleep statements hold the slots and
	// runs once one of them is cancelled. A control connection needs no slot.
	It("runs as many statements at once as there are slots", func() {
		db := startPrimary(database.Config{ID: "a", Slots: 2})
		sleeper, codes := connect(db), make(chan string, 2)
		go func() { codes <- execCode(sleeper, "select pg_sleep(1000)") }()
		second := connect(db)
		go func() { codes <- execCode(second, "select pg_sleep(1000)") }()
		third, done := connect(db), make(chan string, 1)
		Consistently(codes, 100*time.Millisecond).ShouldNot(Receive())
		go func() { done <- execCode(third, "select 1") }()
		Consistently(done, 200*time.Millisecond).ShouldNot(Receive())
		run(control(db), "select 1")
		Expect(sleeper.PgConn().CancelRequest(ctx)).To(Succeed())
		Eventually(codes).Should(Receive(Equal("57014")))
		Eventually(done).Should(Receive(BeEmpty()))
		Expect(second.PgConn().CancelRequest(ctx)).To(Succeed())
		Eventually(codes).Should(Receive(Equal("57014")))
	})

	// A port scanner or a faulty client sends bytes that are not protocol
	// messages. Only its own connection may end; others are not affected.
	It("closes only the connection that sends garbage", func() {
		db := startPrimary(database.Config{ID: "a", Connections: 4})
		c := connect(db)
		startUp := "\x00\x00\x00\x10\x00\x03\x00\x00user\x00u\x00\x00"
		for _, garbage := range []string{
			"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff", "\x00\x00\x00\x00", "",
			startUp + "\x00\x00\x00\x00\x00", startUp + "Q\xff\xff\xff\xff", startUp + "B\x00\x00\x00\x05x",
			startUp + "Z\x00\x00\x00\x04", startUp + "E\x00\x00\x00\x09\x00\x00\x00\x00\x00", startUp,
		} {
			nc, err := net.Dial("tcp", db.Address())
			Expect(err).NotTo(HaveOccurred())
			_, err = nc.Write([]byte(garbage))
			Expect(err).NotTo(HaveOccurred())
			Expect(nc.Close()).To(Succeed())
		}
		run(c, "select 1")
		Eventually(func() int { return db.Status().Connections }).Should(Equal(1))
	})
})

var _ = Describe("Data file", func() {
	// A process killed during a write leaves an incomplete last line in the data
	// file, which was never acknowledged. A restart truncates it and keeps the
	// data, term and role.
	It("keeps log, term and role across a restart", func() {
		cfg := database.Config{ID: "a", DataFile: filepath.Join(GinkgoT().TempDir(), "data")}
		db := startPrimary(cfg)
		run(connect(db), "insert into t (k, v) values ('x', '1')")
		db.Close()
		f, err := os.OpenFile(cfg.DataFile, os.O_WRONLY|os.O_APPEND, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = f.WriteString(`{"entry":{"term":1,"index":3,"writes":[{"t":"t","k":"` + strings.Repeat("k", 4096))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Close()).To(Succeed())

		for _, before := range []string{"1/2", "1/3"} {
			db = start(cfg)
			Expect(db.Status().Role).To(Equal(database.RolePrimary))
			Expect(db.Position().String()).To(Equal(before))
			c := connect(db)
			Expect(get(c, "x")).To(Equal("1"))
			run(c, "insert into t (k, v) values ($1, '1')", "after "+before)
			db.Close()
		}
	})

	It("resumes replication after a restart", func() {
		primary := startPrimary(database.Config{ID: "a"})
		cfg := database.Config{ID: "b", DataFile: filepath.Join(GinkgoT().TempDir(), "data")}
		replica := start(cfg)
		follow(replica, primary, 1)
		Eventually(replica.Position).Should(Equal(primary.Position()))
		replica.Close()
		run(connect(primary), "insert into t (k, v) values ('x', '1')")
		replica = start(cfg)
		Eventually(replica.Position).Should(Equal(primary.Position()))
	})

	It("starts unassigned after a restart without a data file", func() {
		db := startPrimary(database.Config{ID: "a"})
		db.Close()
		Expect(start(database.Config{ID: "a"}).Status().Role).To(Equal(database.RoleUnassigned))
	})
})
