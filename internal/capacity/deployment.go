package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/daemon"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/platformpb"
)

const (
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 40 * time.Second
	pollPause    = 200 * time.Millisecond
	// platformTimeout of the daemons' calls.
	platformTimeout = 2 * time.Second
)

// Programs are the paths of what a deployment runs.
type Programs struct {
	// Dir holds bts-proxy, bts-platform and bts-measure.
	Dir string
	// Work takes settings and logs.
	Work string
}

func (p Programs) path(name string) string { return filepath.Join(p.Dir, name) }

// deployment is a platform, one process of databases and the daemons.
type deployment struct {
	programs  Programs
	shape     Shape
	daemons   []*process
	databases *process
	platform  *process
	standIn   platformpb.StandIn
	table     *platform.Remote
}

// newDeployment starts the platform alone.
func newDeployment(p Programs, s Shape) (*deployment, error) {
	url := "http://" + address(0)
	d := &deployment{
		programs: p,
		shape:    s,
		standIn:  platformpb.NewStandInProtobufClient(url, http.DefaultClient),
		table:    platform.NewRemote(url, "measure", http.DefaultClient),
	}
	var err error
	d.platform, err = start(p.Work, "platform", p.path("bts-platform"), "--listen", address(0), "--log-level", "warn")
	if err != nil {
		return nil, err
	}
	err = await("the platform", func() error {
		_, _, err := d.table.Scan(context.Background(), "", 0)
		return err
	})
	if err != nil {
		d.end()
		return nil, err
	}
	return d, nil
}

// deploy starts everything of a shape and waits until the groups are settled.
func deploy(p Programs, s Shape) (*deployment, error) {
	d, err := newDeployment(p, s)
	if err != nil {
		return nil, err
	}
	if err = d.startAll(); err != nil {
		d.end()
		return nil, err
	}
	return d, nil
}

func (d *deployment) startAll() error {
	if err := d.writeDocument(Document(d.shape)); err != nil {
		return err
	}
	var err error
	d.databases, err = start(d.programs.Work, "databases", d.programs.path("bts-measure"), "databases", d.documentFile())
	if err != nil {
		return err
	}
	for i := range d.shape.Daemons {
		if err := d.startDaemon(i, dataCentre(i%dataCentres)); err != nil {
			return err
		}
	}
	for i := range d.shape.Daemons {
		if err := await(fmt.Sprintf("daemon %d", i), func() error { return ready(d.shape.adminAddress(i)) }); err != nil {
			return err
		}
	}
	return await("settled rows", d.settled)
}

func (d *deployment) documentFile() string { return filepath.Join(d.programs.Work, "config.json") }

func (d *deployment) writeDocument(doc *config.Document) error {
	raw, err := config.Canonical(doc)
	if err != nil {
		return err
	}
	return os.WriteFile(d.documentFile(), raw, 0o600)
}

func (d *deployment) startDaemon(i int, dc topology.DataCentre) error {
	name := fmt.Sprintf("vm-%04d", i)
	raw, err := json.Marshal(daemon.Settings{
		VM:              topology.VMID(name),
		DataCentre:      dc,
		Region:          region,
		CallerAddress:   d.shape.callerAddress(i),
		PeerAddress:     d.shape.peerAddress(i),
		AdminAddress:    d.shape.adminAddress(i),
		PlatformURL:     "http://" + address(0),
		ConfigFile:      d.documentFile(),
		PlatformTimeout: settings.Duration(platformTimeout),
		LogLevel:        "warn",
	})
	if err != nil {
		return err
	}
	file := filepath.Join(d.programs.Work, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	p, err := start(d.programs.Work, name, d.programs.path("bts-proxy"), file)
	if err != nil {
		return err
	}
	d.daemons = append(d.daemons, p)
	return nil
}

// settled tells which group has no row yet, or a replica that is not synced. Without
// this a deployment whose databases could not start would be measured.
func (d *deployment) settled() error {
	rows, _, err := d.table.Scan(context.Background(), "group/", 0)
	if err != nil || len(rows) < d.shape.Groups {
		return errors.Newf("%d rows, %v", len(rows), err)
	}
	for _, r := range rows {
		var g topology.Group
		if err := json.Unmarshal(r.Value, &g); err != nil {
			return err
		}
		unsynced := slices.ContainsFunc(g.Promoters, func(p topology.Promoter) bool { return !p.Synced })
		if unsynced || len(g.Unsettled) > 0 || len(g.Promoters) < replicasAndPrimary-1 {
			return errors.Newf("%s: %d promoters, %d unsettled lists", r.Key, len(g.Promoters), len(g.Unsettled))
		}
	}
	return nil
}

func (d *deployment) end() {
	for _, p := range append(d.daemons, d.databases, d.platform) {
		if p != nil {
			p.kill()
		}
	}
}

// await polls until f has no error.
func await(what string, f func() error) (err error) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollPause) {
		if err = f(); err == nil {
			return nil
		}
	}
	return errors.Wrapf(err, "%s: not ready after %v", what, readyTimeout)
}

// ready asks a daemon; its answer tells what it still lacks.
func ready(admin string) error {
	resp, err := http.Get("http://" + admin + metrics.PathReady)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	why, err := io.ReadAll(resp.Body)
	return errors.Newf("%s %v", why, err)
}

// snapshot reads a daemon's metrics.
func snapshot(admin string) (s metrics.Snapshot, err error) {
	resp, err := http.Get("http://" + admin + metrics.PathJSON)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}
