package integration_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// measureEnv is the environment variable that enables the measurements. They
// check nothing and take long.
const measureEnv = "BTS_MEASURE"

var _ = Describe("Measurements", func() {
	// Alternates runs over a direct connection and runs through one or two daemons.
	// Measures the CPU time that a simple statement costs the daemons and its latency.
	It("of CPU per statement through one daemon", func() {
		if os.Getenv(measureEnv) == "" {
			Skip(measureEnv + " is not set")
		}
		const pairs, statements = 7, 3000
		d := deploy(deployOptions{groups: 1, proxies: 2, editConfig: addClasses, databaseArgs: []string{"--statement-time", "0s"}})
		d.awaitSettled()
		directConn := direct(d.doc.Groups[0].Targets[0].Address)
		for entry, name := range []string{"one daemon", "two daemons"} {
			proxyConn := d.mustConnect(entry, classNote)
			for _, sql := range []string{"select v from quota where k = 'm'", putLiteral} {
				var cpu, latency, directLatency []time.Duration
				for range pairs {
					begun := time.Now()
					runStatements(directConn, sql, statements)
					directLatency = append(directLatency, time.Since(begun)/statements)
					before := cpuOf(d.proxies[0]) + cpuOf(d.proxies[1])
					begun = time.Now()
					runStatements(proxyConn, sql, statements)
					latency = append(latency, time.Since(begun)/statements)
					cpu = append(cpu, (cpuOf(d.proxies[0])+cpuOf(d.proxies[1])-before)/statements)
				}
				fmt.Printf("%.6s through %s: CPU of all daemons %v, latency %v, direct %v (medians of %d pairs)\n",
					sql, name, median(cpu), median(latency), median(directLatency), pairs)
			}
		}
	})
})

const putLiteral = "insert into quota (k, v) values ('m', '1') on conflict (k) do update set v = excluded.v"

func runStatements(c *pgx.Conn, sql string, n int) {
	ctx := timeoutContext(time.Minute)
	for range n {
		_, err := c.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
		Expect(err).NotTo(HaveOccurred())
	}
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}

// clockTick is the unit of the times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// cpuOf returns the CPU time that a process has used.
func cpuOf(p *process) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	var ticks int64
	for _, f := range fields[11:13] { // utime and stime
		n, err := strconv.ParseInt(f, 10, 64)
		Expect(err).NotTo(HaveOccurred())
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}
