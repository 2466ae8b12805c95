package integration_test

import (
	"bytes"
	"context"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Cancel and psql", Ordered, func() {
	var d *deployment
	BeforeAll(func() { d = deploy(deployOptions{groups: 1, proxies: 3, editConfig: addClasses}) })

	// psql returns a psql command that passes the proxy's session options in PGOPTIONS.
	psql := func(args ...string) *exec.Cmd {
		path, err := exec.LookPath("psql")
		if err != nil {
			Skip("psql is not installed")
		}
		host, port, err := net.SplitHostPort(d.callers[0])
		Expect(err).NotTo(HaveOccurred())
		cmd := exec.Command(path, append([]string{"-X", "-h", host, "-p", port, "-U", "clerk", "quota"}, args...)...)
		cmd.Env = append(cmd.Environ(), "PGOPTIONS=-c buckthornshore.service=quota-ledger -c buckthornshore.class=note")
		return cmd
	}

	// The caller gets PostgreSQL's own error and can go on using its session. The
	// cancel request reaches the statement that runs at the database, whichever
	// proxy pools the connection to it.
	It("ends the running statement, and the session goes on", func() {
		c := d.mustConnect(0, classNote)
		for range 3 {
			ended := make(chan error, 1)
			go func() {
				_, err := c.Exec(timeoutContext(20*time.Second), "select pg_sleep(3)", pgx.QueryExecModeSimpleProtocol)
				ended <- err
			}()
			time.Sleep(100 * time.Millisecond)
			Expect(c.PgConn().CancelRequest(timeoutContext(5 * time.Second))).To(Succeed())
			var err error
			Eventually(ended).WithTimeout(2500 * time.Millisecond).Should(Receive(&err))
			Expect(sqlState(err)).To(Equal("57014"))
			Expect(put(c, "cancel", "1")).To(Succeed())
		}
	})

	It("cancels a request that waits for a slot as not run", func() {
		for range 2 {
			busy := d.mustConnect(1, classNote)
			go func() { _, _ = busy.Exec(context.Background(), "select pg_sleep(2)", pgx.QueryExecModeSimpleProtocol) }()
		}
		time.Sleep(200 * time.Millisecond)
		c := d.mustConnect(0, classNote)
		ended := make(chan error, 1)
		go func() {
			_, err := c.Exec(timeoutContext(20*time.Second), "insert into quota (k, v) values ('queued', '1')", pgx.QueryExecModeSimpleProtocol)
			ended <- err
		}()
		time.Sleep(100 * time.Millisecond)
		Expect(c.PgConn().CancelRequest(timeoutContext(5 * time.Second))).To(Succeed())
		var err error
		Eventually(ended).WithTimeout(time.Second).Should(Receive(&err))
		Expect(sqlState(err)).To(Equal("57014"))
		Expect(err.Error()).To(ContainSubstring("not run"))
		_, err = get(d.mustConnect(2, "quota-balance"), "queued")
		Expect(err).To(MatchError(pgx.ErrNoRows))
	})

	It("serves psql", func() {
		cmd := psql()
		cmd.Stdin = strings.NewReader(`\timing on
begin;
insert into quota (k, v) values ('psql', '1') on conflict (k) do update set v = excluded.v;
commit;
set buckthornshore.class = 'quota-balance';
show buckthornshore.class;
select v from quota where k = 'psql';
`)
		out, err := cmd.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(And(ContainSubstring("COMMIT"), ContainSubstring("quota-balance"),
			ContainSubstring("Time:"), ContainSubstring("(1 row)"), Not(ContainSubstring("ERROR"))))
	})

	It("cancels psql's statement on Ctrl-C", func() {
		cmd := psql("-c", "select pg_sleep(3)")
		var out bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &out
		begun := time.Now()
		Expect(cmd.Start()).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		Expect(cmd.Process.Signal(syscall.SIGINT)).To(Succeed())
		Expect(cmd.Wait()).NotTo(Succeed())
		Expect(out.String()).To(ContainSubstring("canceling statement"))
		Expect(time.Since(begun)).To(BeNumerically("<", 2900*time.Millisecond))
	})
})
