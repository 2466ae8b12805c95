package integration_test

import (
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/daemon"
	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// soon is well below the long deadline that the tests give their writes.
const soon = 5 * time.Second

var _ = Describe("Silent connections", func() {
	longDeadline := func(doc *config.Document) {
		addClasses(doc)
		for i := range doc.Classes {
			doc.Classes[i].Deadline = config.Duration(time.Minute)
		}
	}
	// slow starts a write whose answer will be lost and returns its end.
	slow := func(d *deployment, proxy int, id string) <-chan error {
		c := d.mustConnect(proxy, classOnce, "request_id", id)
		ended := make(chan error, 1)
		go func() {
			_, err := c.Exec(within(time.Minute), "insert into slow (k, v) values ('"+id+"', '1'); select pg_sleep(0.4)", pgx.QueryExecModeSimpleProtocol)
			ended <- err
		}()
		return ended
	}

	// The caller of a write learns within a second or two that its outcome is
	// unknown; its deadline is a minute. The connections between pooler and
	// database go silent for good while it runs. New ones work, so the database is
	// not dead: it runs nothing for the old connection, and its answer is lost.
	It("between pooler and database end a write as unknown soon", func() {
		relays := map[string]*relay{}
		d := deploy(shape{groups: 1, proxies: 3, edit: func(doc *config.Document) {
			longDeadline(doc)
			for _, t := range doc.Groups[0].Targets {
				relays[t.Address] = newRelay(t.Address)
			}
		}, settings: func(_ int, s *daemon.Settings) {
			s.AddressMap = map[string]string{}
			for address, r := range relays {
				s.AddressMap[address] = r.address()
			}
		}})
		d.settled()
		term := d.row().Term
		warm := d.mustConnect(1, classNote)
		Expect(put(warm, "silent", "1")).To(Succeed())
		ended := slow(d, 0, "silent-1")
		time.Sleep(200 * time.Millisecond)
		for _, r := range relays {
			r.stall()
		}
		var err error
		Eventually(ended).WithTimeout(soon).Should(Receive(&err))
		Expect(state(err)).To(Equal("BT205"))
		Expect(d.outcome(2, "silent-1")).To(BeElementOf("run", "not run"))
		Expect(put(warm, "silent", "2")).To(Succeed(), "idle connections that went silent are found before use")
		Expect(get(d.mustConnect(2, "quota-balance"), "silent")).To(Equal("2"))
		Expect(d.row().Term).To(Equal(term), "a silent connection is no dead primary")
	})

	// The same between two proxies: the pooler has answered, and the answer is lost.
	It("between entry and pooler end a write as unknown soon", func() {
		var pooler *relay
		d := deploy(shape{groups: 1, proxies: 3, edit: longDeadline, settings: func(i int, s *daemon.Settings) {
			switch i {
			case 0:
				pooler = newRelay(s.PeerAddress)
			case 1:
				s.AddressMap = map[string]string{pooler.target: pooler.address()}
			}
		}})
		d.settled()
		Expect(d.poolerOfPrimary()).To(Equal(0))
		c := d.mustConnect(1, classNote)
		Expect(put(c, "hop", "1")).To(Succeed())
		ended := slow(d, 1, "hop-1")
		time.Sleep(200 * time.Millisecond)
		pooler.stall()
		var err error
		Eventually(ended).WithTimeout(soon).Should(Receive(&err))
		Expect(state(err)).To(Equal("BT205"))
		Expect(put(c, "hop", "2")).To(Succeed())
		Expect(get(d.mustConnect(1, "quota-balance"), "hop")).To(Equal("2"))
		Expect(d.outcome(0, "hop-1")).To(Equal("run"))
	})
})
