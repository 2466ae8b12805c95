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
	// readyTimeout is the timeout of each wait during the start of a deployment.
	readyTimeout = 40 * time.Second
	pollInterval = 200 * time.Millisecond
	// platformTimeout is the timeout of the daemons' calls to the platform.
	platformTimeout = 2 * time.Second
)

// Programs holds the directories that a deployment uses.
type Programs struct {
	// Dir is the directory of bts-proxy, bts-platform and bts-measure.
	Dir string
	// Work is the directory that settings files and logs are written to.
	Work string
}

func (p Programs) path(name string) string { return filepath.Join(p.Dir, name) }

// deployment is a platform, one process that hosts all databases, and the daemons.
type deployment struct {
	programs  Programs
	shape     Shape
	daemons   []*process
	databases *process
	platform  *process
	standIn   platformpb.StandIn
	client    *platform.Remote
}

// newDeployment starts only the platform of a deployment and waits until it answers.
func newDeployment(p Programs, s Shape) (*deployment, error) {
	url := "http://" + address(0)
	d := &deployment{
		programs: p,
		shape:    s,
		standIn:  platformpb.NewStandInProtobufClient(url, http.DefaultClient),
		client:   platform.NewRemote(url, "measure", http.DefaultClient),
	}
	var err error
	d.platform, err = start(p.Work, "platform", p.path("bts-platform"), "--listen", address(0), "--log-level", "warn")
	if err != nil {
		return nil, err
	}
	err = await("the platform", func() error {
		_, _, err := d.client.Scan(context.Background(), "", 0)
		return err
	})
	if err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// deploy starts all processes of a shape and waits until its groups are settled.
func deploy(p Programs, s Shape) (*deployment, error) {
	d, err := newDeployment(p, s)
	if err != nil {
		return nil, err
	}
	if err = d.startAll(); err != nil {
		d.stop()
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

// settled returns an error if a group has no row, too few promoters, a promoter whose
// replica is not synced, or an unsettled list. Without this check a deployment whose
// databases could not start would be measured.
func (d *deployment) settled() error {
	rows, _, err := d.client.Scan(context.Background(), "group/", 0)
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

func (d *deployment) stop() {
	for _, p := range append(d.daemons, d.databases, d.platform) {
		if p != nil {
			p.kill()
		}
	}
}

// await calls f until it returns no error, for at most readyTimeout.
func await(what string, f func() error) (err error) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if err = f(); err == nil {
			return nil
		}
	}
	return errors.Wrapf(err, "%s: not ready after %v", what, readyTimeout)
}

// ready returns an error if a daemon is not ready; its text is the daemon's response,
// which gives the reason.
func ready(admin string) error {
	resp, err := http.Get("http://" + admin + metrics.PathReady)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	reason, err := io.ReadAll(resp.Body)
	return errors.Newf("%s %v", reason, err)
}

// readMetrics reads a daemon's metrics.
func readMetrics(admin string) (s metrics.Snapshot, err error) {
	resp, err := http.Get("http://" + admin + metrics.PathJSON)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}
