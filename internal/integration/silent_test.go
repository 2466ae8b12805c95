package integration_test

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/daemon"
	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// unknownReportLimit bounds how long a write may take to be reported as unknown. It
// is well below the deadline of one minute that these tests give their writes.
const unknownReportLimit = 5 * time.Second

var _ = Describe("Silent connections", func() {
	setLongDeadlines := func(doc *config.Document) {
		addClasses(doc)
		for i := range doc.Classes {
			doc.Classes[i].Deadline = config.Duration(time.Minute)
		}
	}
	// startSlowWrite starts a write whose answer will be lost and returns a channel
	// for its error.
	startSlowWrite := func(d *deployment, proxy int, id string) <-chan error {
		c := d.mustConnect(proxy, classOnce, "request_id", id)
		ended := make(chan error, 1)
		go func() {
			_, err := c.Exec(timeoutContext(time.Minute), "insert into slow (k, v) values ('"+id+"', '1'); select pg_sleep(0.4)", pgx.QueryExecModeSimpleProtocol)
			ended <- err
		}()
		return ended
	}

	// stallDuringWrite stalls connections while a slow write runs, and returns the write's request ID and a channel for
	// its error. On a busy machine a write may end before the stall; then it must succeed, and another one is started.
	stallDuringWrite := func(d *deployment, proxy int, name string, stall func()) (string, <-chan error) {
		for n := 1; ; n++ {
			id := fmt.Sprintf("%s-%d", name, n)
			ended := startSlowWrite(d, proxy, id)
			time.Sleep(200 * time.Millisecond)
			select {
			case err := <-ended:
				Expect(err).NotTo(HaveOccurred())
			default:
				stall()
				return id, ended
			}
		}
	}

	// A write is reported as unknown within a second or two, although its deadline is
	// a minute. While it runs, all open connections between pooler and database stop
	// carrying data. New connections work and show that the database is not dead and
	// runs nothing for the old connection any more, so the write's answer is lost.
	It("between pooler and database end a write as unknown soon", func() {
		relays := map[string]*relay{}
		d := deploy(deployOptions{groups: 1, proxies: 3, editConfig: func(doc *config.Document) {
			setLongDeadlines(doc)
			for _, t := range doc.Groups[0].Targets {
				relays[t.Address] = newRelay(t.Address)
			}
		}, editSettings: func(_ int, s *daemon.Settings) {
			s.AddressMap = map[string]string{}
			for address, r := range relays {
				s.AddressMap[address] = r.address()
			}
		}})
		d.awaitSettled()
		term := d.row().Term
		warmConn := d.mustConnect(1, classNote)
		Expect(put(warmConn, "silent", "1")).To(Succeed())
		id, ended := stallDuringWrite(d, 0, "silent", func() {
			for _, r := range relays {
				r.stall()
			}
		})
		var err error
		Eventually(ended).WithTimeout(unknownReportLimit).Should(Receive(&err))
		Expect(sqlState(err)).To(Equal("BT205"))
		Expect(d.outcome(2, id)).To(BeElementOf("run", "not run"))
		Expect(put(warmConn, "silent", "2")).To(Succeed(), "idle connections that went silent must be detected before use")
		Expect(get(d.mustConnect(2, "quota-balance"), "silent")).To(Equal("2"))
		Expect(d.row().Term).To(Equal(term), "a silent connection must not count as a dead primary")
	})

	// The same failure between two proxies: the pooler answers, and the answer is lost.
	It("between entry and pooler end a write as unknown soon", func() {
		var pooler *relay
		d := deploy(deployOptions{groups: 1, proxies: 3, editConfig: setLongDeadlines, editSettings: func(i int, s *daemon.Settings) {
			switch i {
			case 0:
				pooler = newRelay(s.PeerAddress)
			case 1:
				s.AddressMap = map[string]string{pooler.target: pooler.address()}
			}
		}})
		d.awaitSettled()
		Expect(d.poolerOfPrimary()).To(Equal(0))
		c := d.mustConnect(1, classNote)
		Expect(put(c, "hop", "1")).To(Succeed())
		id, ended := stallDuringWrite(d, 1, "hop", pooler.stall)
		var err error
		Eventually(ended).WithTimeout(unknownReportLimit).Should(Receive(&err))
		Expect(sqlState(err)).To(Equal("BT205"))
		Expect(put(c, "hop", "2")).To(Succeed())
		Expect(get(d.mustConnect(1, "quota-balance"), "hop")).To(Equal("2"))
		Expect(d.outcome(0, id)).To(Equal("run"))
	})
})
