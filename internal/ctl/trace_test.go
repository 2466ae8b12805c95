package ctl

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/logging"
)

var _ = Describe("Trace of a request", func() {
	const logs = `collector-7 time=2026-01-01T10:00:05.900Z level=INFO event=request_failed vm=a request=q1 group=g target=t1 result=NoRight
time=2026-01-01T10:00:05.100Z level=INFO event=dial_failed vm=a target=t1 error="dial tcp: i/o timeout"
time=2026-01-01T10:00:05.200Z level=INFO event=dial_failed vm=a target=t1 error="dial tcp: i/o timeout"
time=2026-01-01T10:00:05.150Z level=INFO event=dial_failed vm=a target=t2 error="another target"
time=2026-01-01T10:00:05.160Z level=INFO event=dial_failed vm=b target=t1 error="another VM"
time=2026-01-01T10:00:05.500Z level=INFO event=rights_ended vm=c group=g took=1s
time=2026-01-01T10:00:05.600Z level=INFO event=rights_ended vm=c group=h took=1s
time=2026-01-01T09:59:00.000Z level=WARN event=cut_off vm=a
panic: not a line of ours
time=2026-01-01T10:00:05.700Z level=INFO event=request_late vm=a request=q2 group=g
`

	// From the logs of three VMs, the trace of a request holds only the lines of its VM, target
	// and group, one of each kind, in the order of time.
	It("holds only the lines that may explain it", func() {
		lines := parseLog(logs)
		var got []string
		for _, line := range traceOf("q1", lines) {
			got = append(got, line.VM+" "+line.Event+" "+line.Fields["target"])
		}
		Expect(got).To(Equal([]string{"a dial_failed t1", "c rights_ended ", "a request_failed t1"}))
	})

	It("is empty if no line names the request", func() {
		lines := parseLog(logs)
		Expect(traceOf("q3", lines)).To(BeEmpty())
	})

	// Guards against a request that is not found by its id, or hides others: callers choose ids of any bytes, up to the
	// length of a message.
	It("is found by any id", func() {
		var out bytes.Buffer
		log := slog.New(slog.NewTextHandler(&out, logging.Options(slog.LevelInfo)))
		ids := []string{
			"q1", "a b", "\x00", "\xff\xfe", "\u2028", "\U000e0001", "\x7f", "\t", "\r", `"`, "=", `\`, "`a`", "'a'", "a=b c=d", "event=x", "time=1", "é ",
			strings.Repeat("x", 1024), strings.Repeat("x", 1025), strings.Repeat("x", 1026), strings.Repeat("\xff", 1<<20), strings.Repeat("\xff", 1<<20-1) + "x",
		}
		for i, id := range ids {
			log.Info("event=request_failed", "request", id, "vm", fmt.Sprintf("vm-%d", i))
		}
		lines := parseLog(out.String())
		Expect(lines).To(HaveLen(len(ids)))
		for i, id := range ids {
			found := traceOf(logging.Value(id), lines)
			Expect(found).To(HaveLen(1), "%.40q", id)
			Expect(found[0].VM).To(Equal(fmt.Sprintf("vm-%d", i)))
		}
		Expect(out.Len()).To(BeNumerically("<", len(ids)*6000))
	})
})
