package integration_test

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/config"
)

var _ = Describe("Limits and bad input", Ordered, func() {
	const maxSessions, maxRequests, resultBytes = 12, 3, 64 << 10
	var d *deployment
	BeforeAll(func() {
		d = deploy(deployOptions{groups: 1, proxies: 3, editConfig: func(doc *config.Document) {
			addClasses(doc)
			doc.Members[0].MaxSessions = maxSessions
			doc.Members[0].MaxRequests = maxRequests
			doc.Limits.ResultBytes = resultBytes
		}})
	})
	exec := func(c *pgx.Conn, sql string) error {
		_, err := c.Exec(timeoutContext(10*time.Second), sql, pgx.QueryExecModeSimpleProtocol)
		return err
	}
	// expectOthersServed checks that other callers are still served.
	expectOthersServed := func() {
		c := d.mustConnect(0, classNote)
		defer c.Close(context.Background())
		ExpectWithOffset(1, put(c, "well", "1")).To(Succeed())
	}

	It("refuses a member's sessions and requests beyond its limits at once", func() {
		// The daemon detects that a caller closed its session only at the session's next
		// read; this also holds for sessions that an earlier spec closed.
		connectWhenFree := func() *pgx.Conn {
			var c *pgx.Conn
			Eventually(func() (err error) {
				c, err = d.connect(0, classNote)
				return err
			}).Should(Succeed())
			DeferCleanup(func() { c.Close(context.Background()) })
			return c
		}
		var sessions []*pgx.Conn
		for range maxSessions {
			sessions = append(sessions, connectWhenFree())
		}
		_, err := d.connect(0, classNote)
		Expect(sqlState(err)).To(Equal("BT102"))
		ended := make(chan error, maxRequests)
		for _, c := range sessions[:maxRequests] {
			go func() { ended <- exec(c, "select pg_sleep(0.6)") }()
		}
		time.Sleep(200 * time.Millisecond)
		err = exec(sessions[maxRequests], "select 1")
		Expect(sqlState(err)).To(Equal("BT106"))
		Expect(err.Error()).To(ContainSubstring("retry after"))
		for range maxRequests {
			Eventually(ended).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		}
		for _, c := range sessions {
			c.Close(context.Background())
		}
		Expect(exec(connectWhenFree(), "select 1")).To(Succeed())
	})

	// The caller gets an error code and no partial result, and can go on using its
	// session.
	It("returns no part of a result that is too large", func() {
		c := d.mustConnect(0, classNote)
		for _, key := range []string{"big-1", "big-2", "big-3"} {
			Expect(put(c, key, strings.Repeat("x", resultBytes/2))).To(Succeed())
		}
		tag, err := c.Exec(timeoutContext(5*time.Second), "select k, v from quota where k like 'big-%'", pgx.QueryExecModeSimpleProtocol)
		Expect(sqlState(err)).To(Equal("BT012"))
		Expect(tag.RowsAffected()).To(BeZero())
		value, err := get(c, "big-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(value).To(HaveLen(resultBytes / 2))
	})

	// Callers that send requests and never read the answers occupy neither a slot nor
	// a connection: with more of them than there are slots, other callers are served.
	It("lets no caller that does not read hold up the others", func() {
		c := d.mustConnect(0, classNote)
		Expect(put(c, "wide", strings.Repeat("x", resultBytes/2))).To(Succeed())
		for range 6 {
			nonReader := d.mustConnect(0, classNote).PgConn()
			for range 100 {
				nonReader.Frontend().Send(&pgproto3.Query{String: "select v from quota where k = 'wide'"})
			}
			go func() { _ = nonReader.Frontend().Flush() }()
		}
		time.Sleep(300 * time.Millisecond)
		for range 10 {
			Eventually(func() error { return put(c, "read", "1") }).WithTimeout(5 * time.Second).Should(Succeed())
		}
	})

	DescribeTable("answers bad input by a numbered error and harms nobody",
		func(send func(net.Conn), code string) {
			nc, err := net.Dial("tcp", d.callers[1])
			Expect(err).NotTo(HaveOccurred())
			defer nc.Close()
			send(nc)
			_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
			var seen []byte
			buf := make([]byte, 4096)
			for !strings.Contains(string(seen), code) {
				n, err := nc.Read(buf)
				seen = append(seen, buf[:n]...)
				if err != nil {
					break
				}
			}
			Expect(string(seen)).To(ContainSubstring(code))
			expectOthersServed()
		},
		Entry("garbage at the start", func(nc net.Conn) { _, _ = nc.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }, "BT000"),
		Entry("a huge start-up message", func(nc net.Conn) { _, _ = nc.Write([]byte{0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0}) }, "BT000"),
		Entry("an unknown service", startWith("service", "nobody"), "BT003"),
		Entry("a member that does not own the service", startWith("service", "quota-ledger", "member", "other"), "BT002"),
		Entry("an unknown class", startThen("selekt 1", "service", "quota-ledger", "class", "nobody"), "BT004"),
		Entry("a token that can't be read", startWith("service", "quota-ledger", "session", "s", "token", "%%%"), "BT005"),
		Entry("a token without a session", startWith("service", "quota-ledger", "token", "new"), "BT001"),
		Entry("garbage in the session", startBytes([]byte{0xff, 0, 0, 0, 9, 1, 2, 3, 4, 5}), "BT000"),
		Entry("a negative length", startBytes([]byte{'Q', 0xff, 0xff, 0xff, 0xff}), "BT000"),
		Entry("a huge message", startBytes([]byte{'Q', 0x7f, 0, 0, 0}), "BT007"),
		Entry("a function call", startBytes([]byte{'F', 0, 0, 0, 14, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0}), "BT000"),
	)

	It("refuses a member and a service for a session that do not belong together", func() {
		c := d.mustConnect(1, classNote)
		Expect(sqlState(exec(c, "set buckthornshore.member = 'other'"))).To(Equal("BT002"))
		Expect(sqlState(exec(c, "set buckthornshore.service = 'nobody'"))).To(Equal("BT003"))
		Expect(put(c, "member", "1")).To(Succeed())
	})

	It("is not harmed by half a message, a forged token or thousands of statements", func() {
		nc, err := net.Dial("tcp", d.callers[1])
		Expect(err).NotTo(HaveOccurred())
		startBytes([]byte{'Q', 0, 0, 1, 0, 's'})(nc)
		Expect(nc.Close()).To(Succeed())

		owner := d.mustConnect(1, classNote, "session", "owner", "token", "new")
		Expect(put(owner, "token", "1")).To(Succeed())
		token := owner.PgConn().ParameterStatus("buckthornshore.token")
		Expect(token).NotTo(BeEmpty())
		_, err = d.connect(1, classNote, "session", "thief", "token", token)
		Expect(sqlState(err)).To(HavePrefix("BT00"))
		forged := []byte(token)
		forged[len(forged)/2] ^= 1
		_, err = d.connect(1, classNote, "session", "owner", "token", string(forged))
		Expect(sqlState(err)).To(HavePrefix("BT00"))

		c := d.mustConnect(1, classNote).PgConn()
		p := c.StartPipeline(timeoutContext(20 * time.Second))
		for i := range 3000 {
			p.SendPrepare("s"+strings.Repeat("x", i%7)+string(rune('a'+i%26))+time.Duration(i).String(), "select v from quota where k = $1", nil)
		}
		Expect(p.Sync()).To(Succeed())
		Expect(sqlState(p.Close())).To(Or(Equal("BT000"), Equal("BT007")))
		expectOthersServed()
	})
})

// startWith sends a start-up message with options, given as pairs of name and value.
func startWith(options ...string) func(net.Conn) {
	return func(nc net.Conn) {
		parameters := map[string]string{"user": "u"}
		for n := 0; n+1 < len(options); n += 2 {
			parameters["buckthornshore."+options[n]] = options[n+1]
		}
		out, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}).Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		_, _ = nc.Write(out)
	}
}

func startThen(sql string, options ...string) func(net.Conn) {
	return func(nc net.Conn) {
		startWith(options...)(nc)
		out, err := (&pgproto3.Query{String: sql}).Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		_, _ = nc.Write(out)
	}
}

func startBytes(raw []byte) func(net.Conn) {
	return func(nc net.Conn) {
		startWith("service", "quota-ledger", "class", classNote)(nc)
		_, _ = nc.Write(raw)
	}
}
