package ctl

import (
	"bytes"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Report of lost requests", func() {
	const logs = `time=2026-01-01T10:00:00.000Z level=INFO event=started vm=a data_centre=north
time=2026-01-01T10:00:04.100Z level=INFO event=request_failed vm=a request=q1 class=orders group=g code=1201 result=X
time=2026-01-01T10:00:09.100Z level=INFO event=request_late vm=b request=q2 class=quotes group=h took=400ms waited=300ms
time=2026-01-01T10:00:09.200Z level=INFO event=request_late vm=b request=q3 class=quotes group=h took=400ms waited=10ms
time=2026-01-01T10:00:09.300Z level=INFO event=request_failed vm=b request=q4 class=quotes group=h code=none
not a line of ours
`

	report := func(logs string) lossReport {
		lines := parseLog(logs)
		r, ok := reportOf(lines, 2*time.Second)
		Expect(ok).To(BeTrue())
		return r
	}

	// After an incident an operator needs to know when requests of which class were lost, and
	// why. Windows without a lost request are included, so that the bars show the course of time.
	It("counts by window, class, data centre and cause", func() {
		r := report(logs)
		var windows []string
		for _, w := range r.Windows {
			windows = append(windows, w.Name)
		}
		Expect(windows).To(Equal([]string{"+0s", "+2s", "+4s"}))
		Expect(r.Windows[1].Total).To(BeZero())
		Expect(r.Classes[0]).To(Equal(reportRow{
			Name: "quotes", Total: 3, Causes: map[cause]int{causeLateWait: 1, causeLate: 1, causeRefused: 1},
		}))
		Expect(r.DataCentres).To(ContainElement(HaveField("Name", "north")))
		Expect(r.DataCentres).To(ContainElement(HaveField("Name", "not told")))
	})

	It("lists every cause that a result code maps to", func() {
		for code, c := range causeOf {
			Expect(causes).To(ContainElement(c), code.Name())
		}
	})

	It("prints the windows with bars", func() {
		var out bytes.Buffer
		t := &tool{out: &output{stdout: &out}}
		Expect(t.printReport(report(logs))).To(Succeed())
		Expect(out.String()).To(ContainSubstring("+4s"))
		Expect(out.String()).To(ContainSubstring(strings.Repeat("#", barWidth)))
	})

	It("returns false if nothing was lost", func() {
		lines := parseLog("time=2026-01-01T10:00:00.000Z level=INFO event=started vm=a\n")
		_, ok := reportOf(lines, time.Second)
		Expect(ok).To(BeFalse())
	})
})
