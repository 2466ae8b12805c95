package ctl_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/ctl"
	"github.com/buckthornshore/buckthornshore/internal/standin/platformd"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

// run executes one command line and returns its exit code and output.
func run(argv ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := ctl.Run(context.Background(), argv, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func example(name string) string { return filepath.Join("..", "..", "examples", name) }

// writeTempFile writes a file that is removed after the spec.
func writeTempFile(name, text string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func editedExample(name, old, replacement string) string {
	GinkgoHelper()
	raw, err := os.ReadFile(example(name))
	Expect(err).NotTo(HaveOccurred())
	Expect(string(raw)).To(ContainSubstring(old))
	return writeTempFile(name, strings.Replace(string(raw), old, replacement, 1))
}

var _ = Describe("Offline", func() {
	It("checks a file", func() {
		code, stdout, stderr := run("check", example("kalakvoot.json"))
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(stdout).To(ContainSubstring("kalakvoot.json: valid, 0 warnings, hash "))
	})

	It("prints each problem on a line of its own, then the result code", func() {
		file := editedExample("kalakvoot.json", `"slots"`, `"slot"`)
		code, stdout, stderr := run("check", file)
		Expect(code).To(Equal(ctl.ExitRefused))
		Expect(stdout).To(BeEmpty())
		lines := strings.Split(strings.TrimSpace(stderr), "\n")
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(ContainSubstring(`unknown key "slot"`))
		Expect(lines[1]).To(HavePrefix("BTS-1300 "))
		_, stdout, _ = run("check", file, "--json")
		Expect(stdout).To(ContainSubstring(`"valid": false`))
	})

	It("prints the differences", func() {
		file := editedExample("kalakvoot.json", `"weight": 10`, `"weight": 11`)
		code, stdout, _ := run("diff", example("kalakvoot.json"), file)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(stdout).To(Equal("~ members[kalakvoot].weight: 10 -> 11\n"))
	})

	It("writes a completion script that names every command", func() {
		code, stdout, _ := run("completion", "bash")
		Expect(code).To(Equal(ctl.ExitOK))
		_, help, _ := run("--help")
		_, commands, _ := strings.Cut(help, "Commands:")
		for line := range strings.Lines(strings.TrimSpace(commands)) {
			Expect(stdout).To(ContainSubstring(strings.Fields(line)[0]))
		}
		code, _, _ = run("completion", "fish")
		Expect(code).To(Equal(ctl.ExitRefused))
	})

	DescribeTable("explains a wrong command line", func(argv ...string) {
		code, _, stderr := run(argv...)
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(stderr).To(ContainSubstring("Usage: bts-ctl"))
		Expect(stderr).To(ContainSubstring("BTS-1308 "))
	},
		Entry("no command"),
		Entry("an unknown command", "destroy"),
		Entry("a missing file argument", "check"),
		Entry("preset without a subcommand", "preset"),
		Entry("config without a subcommand", "config"),
		Entry("nothing to drain", "drain"),
		Entry("both a target and a VM to drain", "drain", "target", "--vm", "vm"),
		Entry("apply without the expected version", "apply", "f"),
	)
})

var _ = Describe("Online", func() {
	var (
		settings string
		// intercept is called before the platform; it returns false if it has answered
		// the request itself.
		intercept func(http.ResponseWriter, *http.Request) bool
		served    http.Handler
	)
	runOnline := func(argv ...string) (int, string, string) {
		return run(append(argv, "--settings", settings)...)
	}

	BeforeEach(func() {
		served = platformd.New(platform.NewMemory(), 1).Handler()
		intercept = func(http.ResponseWriter, *http.Request) bool { return true }
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if intercept(w, r) {
				served.ServeHTTP(w, r)
			}
		}))
		DeferCleanup(server.Close)
		settings = writeTempFile("bts-ctl.json", fmt.Sprintf(`{"platform_url": %q, "operator": "mari", "timeout": "2s"}`, server.URL))
	})

	It("applies, conflicts, switches, rolls back and lists", func() {
		code, stdout, stderr := runOnline("apply", example("kalakvoot.json"), "--expect-version", "0")
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(stdout).To(Equal("configuration version 1 accepted\n"))

		code, _, stderr = runOnline("apply", example("both.json"), "--expect-version", "0")
		Expect(code).To(Equal(ctl.ExitRefused))
		Expect(stderr).To(And(HavePrefix("BTS-1301 "), ContainSubstring("version 1 by mari at ")))

		code, _, stderr = runOnline("preset", "switch", "storm")
		Expect(code).To(Equal(ctl.ExitRefused))
		Expect(stderr).To(HavePrefix("BTS-1305 "))

		code, stdout, _ = runOnline("preset", "switch", "peak")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(stdout).To(Equal("preset peak in force, switch 1\n"))

		_, stdout, _ = runOnline("preset", "list")
		Expect(stdout).To(MatchRegexp(`peak +yes`))
		_, stdout, _ = runOnline("preset", "show", "--json")
		Expect(stdout).To(ContainSubstring(`"preset": "peak"`))

		code, stdout, _ = runOnline("rollback", "1")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(stdout).To(Equal("configuration version 2 accepted, with the content of 1\n"))
		_, stdout, _ = runOnline("history")
		Expect(stdout).To(MatchRegexp(`(?m)^2 +mari +\S+ +[0-9a-f]{12} +1 +\S+$`))
	})

	It("reports that the platform is unavailable and nothing was done", func() {
		intercept = func(w http.ResponseWriter, _ *http.Request) bool {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return false
		}
		code, stdout, stderr := runOnline("apply", example("kalakvoot.json"), "--expect-version", "0", "--json")
		Expect(code).To(Equal(ctl.ExitUnavailable))
		Expect(stderr).To(And(HavePrefix("BTS-1303 "), ContainSubstring("(not run)")))
		Expect(stdout).To(ContainSubstring(`"code": 1303`))
	})

	// The platform commits the change, its answer is lost, and then the platform is
	// unavailable. The tool must report neither success nor "not run", and must say
	// how to find out; once the platform is back, the history shows the change.
	It("reports an unknown outcome, which the history resolves later", func() {
		down := false
		intercept = func(w http.ResponseWriter, r *http.Request) bool {
			if strings.HasSuffix(r.URL.Path, "/Commit") {
				served.ServeHTTP(httptest.NewRecorder(), r)
				down = true
			}
			if down {
				http.Error(w, "outage", http.StatusServiceUnavailable)
			}
			return !down
		}
		code, _, stderr := runOnline("apply", example("kalakvoot.json"), "--expect-version", "0")
		Expect(code).To(Equal(ctl.ExitUnknown))
		Expect(stderr).To(And(HavePrefix("BTS-1304 "), ContainSubstring("look for it in the history")))
		intercept = func(http.ResponseWriter, *http.Request) bool { return true }
		_, stdout, _ := runOnline("history")
		Expect(stdout).To(MatchRegexp(`(?m)^1 +mari `))
	})

	// As above, but the platform answers the look-up, so the tool reports success.
	It("finds its own change after a lost answer", func() {
		lost := false
		intercept = func(w http.ResponseWriter, r *http.Request) bool {
			if lost || !strings.HasSuffix(r.URL.Path, "/Commit") {
				return true
			}
			lost = true
			served.ServeHTTP(httptest.NewRecorder(), r)
			http.Error(w, "lost", http.StatusServiceUnavailable)
			return false
		}
		code, stdout, stderr := runOnline("apply", example("kalakvoot.json"), "--expect-version", "0")
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(stdout).To(Equal("configuration version 1 accepted\n"))
	})
})
