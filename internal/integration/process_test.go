package integration_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// binDir holds the programs, built once for the suite.
var binDir string

var programs = []string{"bts-platform", "bts-database", "bts-proxy"}

func buildPrograms() {
	binDir = GinkgoT().TempDir()
	for _, p := range programs {
		out, err := exec.Command("go", "build", "-o", filepath.Join(binDir, p), "../../cmd/"+p).CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	}
}

// process is one running program; its log is printed when a test fails.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
}

func (p *process) start() {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	p.cmd = exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	p.cmd.Stdout = file
	p.cmd.Stderr = file
	// A process that outlives its test would call the ports of later ones.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(p.cmd.Start()).To(Succeed())
}

func (p *process) signal(s syscall.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

// kill ends the process with SIGKILL, as the failure of its VM would.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_, _ = p.cmd.Process.Wait()
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// stop requests a planned stop with SIGTERM, waits for the exit and returns how
// long it took.
func (p *process) stop() time.Duration {
	begun := time.Now()
	p.signal(syscall.SIGTERM)
	_, _ = p.cmd.Process.Wait()
	return time.Since(begun)
}

// Ports for listeners are below the range from which Linux takes the ports of
// outgoing connections: such a connection could otherwise take the port of a
// program that is being restarted.
const (
	firstPort = 15000
	lastPort  = 32000
)

// nextPort is the last port given out, as an offset from firstPort. The first one is
// random; the others follow in order. When each was random, 2 of 100 deployments with
// 25 addresses had a duplicate, and a program did not start.
var nextPort = rand.IntN(lastPort - firstPort)

// freeAddress returns a loopback address that was free when it was checked. No
// address is returned twice until all ports have been given out.
func freeAddress() string {
	for {
		nextPort = (nextPort + 1) % (lastPort - firstPort)
		port := firstPort + nextPort
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
}

func dumpLog(p *process) {
	raw, _ := os.ReadFile(p.log)
	const maxBytes = 20000
	if len(raw) > maxBytes {
		raw = raw[len(raw)-maxBytes:]
	}
	fmt.Fprintf(GinkgoWriter, "--- %s\n%s\n", p.name, raw)
}
