package load

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/pkg/config"
)

func seconds(s ...float64) []time.Duration {
	var out []time.Duration
	for _, v := range s {
		out = append(out, time.Duration(v*float64(time.Second)))
	}
	return out
}

var _ = Describe("The failover gap", func() {
	window := faultWindow{start: time.Second, at: 5 * time.Second, next: 10 * time.Second, end: 10 * time.Second}

	It("is the longest time without a completed write that ends after the fault", func() {
		g := measureGap(seconds(4.5, 1, 2, 4.9, 7, 7.1, 9), seconds(5.2), window)
		Expect(g.Length).To(Equal(2100 * time.Millisecond))
		Expect(g.Usual).To(Equal(2500 * time.Millisecond))
		Expect(g.Open).To(BeFalse())
		Expect(*g.FirstRefusal).To(Equal(200 * time.Millisecond))
		Expect(*g.FirstSuccess).To(Equal(2 * time.Second))
	})

	It("does not include a gap that began after the next fault", func() {
		untilNext := window
		untilNext.next = 6 * time.Second
		g := measureGap(seconds(2, 4.9, 5.5, 8), nil, untilNext)
		Expect(g.Length).To(Equal(600 * time.Millisecond))
		Expect(g.Open).To(BeFalse())
	})

	It("includes a gap that began well before the next fault", func() {
		untilNext := window
		untilNext.next = 8 * time.Second
		g := measureGap(seconds(2, 3, 4, 4.9, 9), nil, untilNext)
		Expect(g.Length).To(Equal(4100 * time.Millisecond))
	})

	It("is open when no write completes until the end of the load", func() {
		g := measureGap(seconds(1, 2, 3, 4), nil, faultWindow{at: 4500 * time.Millisecond, next: 20 * time.Second, end: 20 * time.Second})
		Expect(g.Open).To(BeTrue())
		Expect(g.Length).To(Equal(16 * time.Second))
		Expect(g.FirstSuccess).To(BeNil())
	})
})

var _ = Describe("The outcome of an attempt", func() {
	refusal := func(state, message, hint string) error {
		return &pgconn.PgError{Severity: "ERROR", Code: state, Message: message, Hint: hint}
	}
	DescribeTable("is derived from the error",
		func(err error, want attemptResult) { Expect(classify(err)).To(Equal(want)) },
		Entry("completed", nil, attemptResult{outcome: Completed, code: labelOK}),
		Entry("refused", refusal("BT100", "BTS-1100 the queue of the class is full (not run)", "retry_after_ms=250"),
			attemptResult{outcome: NotRun, code: "QueueFull", retryAfter: 250 * time.Millisecond}),
		Entry("the effect in the message takes precedence over the code's", refusal("BT202", "BTS-1202 the target is in another term (unknown)", ""),
			attemptResult{outcome: Unknown, code: "TermRefused"}),
		Entry("ran already", refusal("BT212", "BTS-1212 a request with this id has run (run)", ""),
			attemptResult{outcome: Completed, code: "AlreadyRan"}),
		Entry("rolled back by the database", refusal("40P01", "deadlock", ""), attemptResult{outcome: NotRun, code: "40P01"}),
		Entry("shut down", refusal("57P01", "bye", ""), attemptResult{outcome: Unknown, code: "57P01"}),
		Entry("connection lost", errors.New("read: reset"), attemptResult{outcome: Unknown, code: labelConnectionLost, connLost: true}),
	)
})

var _ = Describe("The share of replicas", func() {
	replica, primary := readKey{"m", "c", metrics.RoleReplica}, readKey{"m", "c", metrics.RolePrimary}

	It("adds up the daemons whose counters were read both times and that did not restart", func() {
		before := []scrape{
			{reads: map[readKey]int64{replica: 10, primary: 10}},
			{reads: map[readKey]int64{replica: 50}},
			{err: errors.New("refused")},
		}
		after := []scrape{
			{reads: map[readKey]int64{replica: 40, primary: 20}},
			{reads: map[readKey]int64{replica: 5}},
			{reads: map[readKey]int64{replica: 1000}},
		}
		share := replicaShare(before, after)
		Expect(share.Measured).To(Equal(1))
		Expect(share.Classes).To(Equal([]ClassShare{{Member: "m", Class: "c", Replica: 30, Primary: 10}}))
		percent, _ := share.Classes[0].Percent()
		Expect(percent).To(Equal(75.0))
	})
})

var _ = Describe("A report", func() {
	sample := func(label string, p50 time.Duration) *RunReport {
		s := newStats(time.Second)
		s.add(&Record{Member: "m", Class: "c", Operation: PutOwn, Outcome: Completed, Code: labelOK, Intended: 0, Done: time.Hour})
		s.add(&Record{Member: "m", Class: "c", Operation: PutOwn, Outcome: Completed, Code: labelOK, Intended: 2 * time.Second, Sent: 2 * time.Second, Done: 2*time.Second + p50})
		s.overrun(classKey{"m", "c"}, 3*time.Second)
		c := s.classes[classKey{"m", "c"}].report(classKey{"m", "c"}, 10*time.Second)
		return &RunReport{
			Label:    label,
			Classes:  []ClassReport{c},
			Verdicts: []MemberVerdicts{{Member: "m", Verdicts: []Verdict{{Check: CheckOnce, Count: 1, Violations: []Violation{{What: "<counter> is 4"}}}}}},
		}
	}

	It("leaves the warm-up out and counts the requests that were not sent", func() {
		c := sample("a", 10*time.Millisecond).Classes[0]
		Expect(c.Offered).To(Equal(2))
		Expect(c.Completed).To(Equal(1))
		Expect(c.Overrun).To(Equal(1))
		Expect(c.Latency.Max).To(BeNumerically("~", 10*time.Millisecond, 10*time.Microsecond))
	})

	It("is written as text, as HTML and as JSON, which reads back unchanged", func() {
		r := sample("a", 10*time.Millisecond)
		var text bytes.Buffer
		Expect(r.WriteText(&text)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("not measured"))
		Expect(text.String()).To(ContainSubstring("violations: 1"))
		dir := GinkgoT().TempDir()
		Expect(r.WriteHTML(filepath.Join(dir, "r.html"))).To(Succeed())
		page, err := os.ReadFile(filepath.Join(dir, "r.html"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(And(ContainSubstring("<svg"), ContainSubstring("&lt;counter&gt;"), Not(ContainSubstring("http"))))
		Expect(r.WriteJSON(filepath.Join(dir, "r.json"))).To(Succeed())
		Expect(ReadReport(filepath.Join(dir, "r.json"))).To(Equal(r))
	})

	It("is compared by the median of the reports with its label", func() {
		var out bytes.Buffer
		Expect(Compare(&out, []*RunReport{
			sample("a", 10*time.Millisecond), sample("a", 1000*time.Millisecond), sample("a", 20*time.Millisecond),
			sample("b", 40*time.Millisecond),
		})).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`p50 ms +20\.0\d +40\.0\d +2\.00`))
	})
})

var _ = Describe("The fault plan", func() {
	It("includes the reversals of faults that have a duration, ordered by time", func() {
		freeze, err := ParseFault("5s,freeze,vm-1,,2s")
		Expect(err).NotTo(HaveOccurred())
		outage, err := ParseFault("6s,platform-outage")
		Expect(err).NotTo(HaveOccurred())
		var names []string
		for _, f := range schedule([]Fault{outage, freeze}) {
			names = append(names, f.At.Std().String()+" "+f.String())
		}
		Expect(names).To(Equal([]string{"5s freeze vm-1", "6s platform-outage", "7s thaw vm-1"}))
	})

	DescribeTable("rejects invalid faults",
		func(text string) {
			_, err := ParseFault(text)
			Expect(err).To(HaveOccurred())
		},
		Entry("unknown action", "5s,explode,vm-1"),
		Entry("no target", "5s,kill"),
		Entry("no duration", "5s,replication-delay,quota-g1-b,long"),
	)

	It("signals no process that the pid file does not name, and no process group", func() {
		Expect(Processes{}.Signal("vm-1", Kill)).NotTo(Succeed())
		file := filepath.Join(GinkgoT().TempDir(), "pids")
		for _, line := range []string{"vm-1=-1", "vm-1=0", "vm-1=1", "vm-1"} {
			Expect(os.WriteFile(file, []byte(line+"\n"), 0o600)).To(Succeed())
			_, err := ReadProcesses(file)
			Expect(err).To(HaveOccurred())
		}
	})
})

var _ = Describe("The shipped profiles", func() {
	DescribeTable("fit the shipped configurations",
		func(member string) {
			raw, err := os.ReadFile("../../examples/" + member + ".json")
			Expect(err).NotTo(HaveOccurred())
			doc, problems := config.Parse(member, raw)
			Expect(config.Err(problems)).To(Succeed())
			conf, err := config.Effective(doc, config.OrdinaryPreset)
			Expect(err).NotTo(HaveOccurred())
			p, err := ReadProfile("../../examples/load-" + member + ".json")
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Check(conf)).To(Succeed())
			p.Duration = settings.Duration(time.Second)
			Expect(p.Check(conf)).NotTo(Succeed())
		},
		Entry("kalakvoot", "kalakvoot"),
		Entry("permessi", "permessi"),
	)
})
