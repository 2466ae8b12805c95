package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/daemon"
	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/platformpb"
)

// deployment is the shipped example configuration of one member as running
// processes: a platform, databases and proxies.
type deployment struct {
	dir           string
	doc           *config.Document
	platform      *process
	url           string
	databases     map[topology.TargetID]*process
	proxySettings []daemon.Settings
	proxies       []*process
	links         []*link
	callers       []string // caller addresses, in the order of proxies
	admins        []string // admin addresses, in the order of proxies
	standIn       platformpb.StandIn
	deployOptions deployOptions
}

// deployOptions sets the size of a deployment and what differs from the example.
type deployOptions struct {
	groups  int
	proxies int
	// links is set to route the proxies' connections to other data centres and to
	// the platform through links that can be cut.
	links bool
	// databaseArgs are added to every database's command line.
	databaseArgs []string
	// editConfig changes the configuration, editSettings the settings of the i-th proxy.
	editConfig   func(*config.Document)
	editSettings func(i int, s *daemon.Settings)
}

// deploy starts everything and waits until a write goes through.
func deploy(s deployOptions) *deployment {
	d := &deployment{dir: GinkgoT().TempDir(), databases: map[topology.TargetID]*process{}, deployOptions: s}
	DeferCleanup(d.end)
	d.readExample(s.groups)
	d.startPlatform()
	d.startDatabases(s.databaseArgs)
	d.planProxies(s.proxies, s.links)
	for i := range s.proxies {
		d.startProxy(i)
	}
	d.awaitWrites()
	return d
}

// readExample reads the shipped example and gives its databases addresses that
// are free on this machine.
func (d *deployment) readExample(groups int) {
	raw, err := os.ReadFile("../../examples/kalakvoot.json")
	Expect(err).NotTo(HaveOccurred())
	doc, problems := config.Parse("kalakvoot.json", raw)
	Expect(config.Err(problems)).To(Succeed())
	doc.Groups = doc.Groups[:groups]
	for i := range doc.Groups {
		for j := range doc.Groups[i].Targets {
			doc.Groups[i].Targets[j].Address = freeAddress()
		}
	}
	if d.deployOptions.editConfig != nil {
		d.deployOptions.editConfig(doc)
	}
	d.doc = doc
	raw, err = json.Marshal(doc)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(d.configFile(), raw, 0o600)).To(Succeed())
}

func (d *deployment) configFile() string { return filepath.Join(d.dir, "config.json") }

func (d *deployment) process(name string, args ...string) *process {
	p := &process{name: name, args: args, log: filepath.Join(d.dir, name+".log")}
	p.start()
	return p
}

func (d *deployment) startPlatform() {
	address := freeAddress()
	d.platform = d.process("platform", "bts-platform", "--listen", address)
	d.url = "http://" + address
	d.standIn = platformpb.NewStandInProtobufClient(d.url, http.DefaultClient)
	table := platform.NewRemote(d.url, "test", http.DefaultClient)
	Eventually(func() error {
		_, _, err := table.Scan(context.Background(), "", 0)
		return err
	}).WithTimeout(10 * time.Second).Should(Succeed())
}

func (d *deployment) startDatabases(extra []string) {
	for _, g := range d.doc.Groups {
		for _, t := range g.Targets {
			args := []string{
				"bts-database", "--id", string(t.ID), "--listen", t.Address,
				"--data-centre", string(t.DataCentre),
				"--data-file", filepath.Join(d.dir, string(t.ID)+".data"),
			}
			d.databases[t.ID] = d.process(string(t.ID), append(args, extra...)...)
		}
	}
}

// planProxies prepares the settings of n proxies, assigned to the data centres
// round robin.
func (d *deployment) planProxies(n int, links bool) {
	for i := range n {
		d.proxySettings = append(d.proxySettings, daemon.Settings{
			VM:              topology.VMID(fmt.Sprintf("vm-%d", i+1)),
			DataCentre:      d.doc.DataCentres[i%len(d.doc.DataCentres)].Name,
			Region:          "ee-north",
			CallerAddress:   freeAddress(),
			PeerAddress:     freeAddress(),
			AdminAddress:    freeAddress(),
			PlatformURL:     d.url,
			ConfigFile:      d.configFile(),
			PlatformTimeout: settings.Duration(time.Second),
			CheckInvariants: true,
			LogLevel:        "debug",
			OperatorSecret:  operatorSecret,
		})
	}
	if links {
		d.linkAll()
	}
}

// startProxy starts the i-th planned proxy.
func (d *deployment) startProxy(i int) {
	s := d.proxySettings[i]
	if d.deployOptions.editSettings != nil {
		d.deployOptions.editSettings(i, &s)
	}
	raw, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(d.dir, string(s.VM)+".json")
	Expect(os.WriteFile(file, raw, 0o600)).To(Succeed())
	d.proxies = append(d.proxies, d.process(string(s.VM), "bts-proxy", file))
	d.callers = append(d.callers, s.CallerAddress)
	d.admins = append(d.admins, s.AdminAddress)
}

// awaitWrites waits until every group accepts a write.
func (d *deployment) awaitWrites() {
	for _, g := range d.doc.Groups {
		Eventually(func() error {
			c, err := d.connect(0, "landing-report", "group", g.Name)
			if err != nil {
				return err
			}
			defer c.Close(context.Background())
			return put(c, "ready", "yes")
		}).WithTimeout(20 * time.Second).WithPolling(100 * time.Millisecond).Should(Succeed())
	}
}

// connect opens a session at the i-th proxy; options are pairs of name and value.
func (d *deployment) connect(i int, class string, options ...string) (*pgx.Conn, error) {
	conf, err := pgx.ParseConfig("postgres://caller@" + d.callers[i] + "/quota?sslmode=disable")
	Expect(err).NotTo(HaveOccurred())
	conf.RuntimeParams["buckthornshore.service"] = "quota-ledger"
	conf.RuntimeParams["buckthornshore.class"] = class
	for n := 0; n+1 < len(options); n += 2 {
		conf.RuntimeParams["buckthornshore."+options[n]] = options[n+1]
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return pgx.ConnectConfig(ctx, conf)
}

func (d *deployment) mustConnect(i int, class string, options ...string) *pgx.Conn {
	c, err := d.connect(i, class, options...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close(context.Background()) })
	return c
}

// dumpRows prints all rows of the platform's table, next to the logs of a failed
// test.
func (d *deployment) dumpRows() {
	table := platform.NewRemote(d.url, "test", http.DefaultClient)
	rows, _, err := table.Scan(context.Background(), "", 0)
	if err != nil {
		fmt.Fprintf(GinkgoWriter, "--- reading the rows failed: %v\n", err)
		return
	}
	for _, r := range rows {
		fmt.Fprintf(GinkgoWriter, "--- row %s\n%s\n", r.Key, r.Value)
	}
}

func (d *deployment) end() {
	if CurrentSpecReport().Failed() {
		d.dumpRows()
	}
	all := append([]*process{d.platform}, d.proxies...)
	for _, p := range d.databases {
		all = append(all, p)
	}
	for _, p := range all {
		if p == nil {
			continue
		}
		if CurrentSpecReport().Failed() || os.Getenv("BTS_LOGS") != "" {
			dumpLog(p)
		}
		p.kill()
	}
}

const putSQL = "insert into quota (k, v) values ($1, $2) on conflict (k) do update set v = excluded.v"

func put(c *pgx.Conn, key, value string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.Exec(ctx, putSQL, key, value)
	return err
}

func get(c *pgx.Conn, key string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var value string
	err := c.QueryRow(ctx, "select v from quota where k = $1", key).Scan(&value)
	return value, err
}
