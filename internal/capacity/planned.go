package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// rowsPerCommit keeps the platform's requests small.
const rowsPerCommit = 200

// MeasurePlanned runs one daemon that knows the whole planned size: 14,001
// targets, their groups' rows and 3,900 VMs. It is the relay of a data centre
// without targets, so it holds and promotes nothing, and the other VMs are
// rows with one address that knows no method.
func MeasurePlanned(p Programs, window time.Duration) (Rest, error) {
	d, err := newDeployment(p, Shape{Daemons: 1})
	if err != nil {
		return Rest{}, err
	}
	defer d.end()
	other := &http.Server{Addr: d.shape.targetAddress(0), Handler: http.NotFoundHandler(), ReadHeaderTimeout: callTimeout}
	go func() { _ = other.ListenAndServe() }()
	defer func() { _ = other.Close() }()
	if err := d.plan(); err != nil {
		return Rest{}, err
	}
	if err := d.startDaemon(0, dataCentre(PlannedDataCentres-1)); err != nil {
		return Rest{}, err
	}
	err = await("the daemon", func() error { return ready(d.shape.adminAddress(0)) })
	if err != nil {
		return Rest{}, err
	}
	time.Sleep(settleTime)
	return d.rest(window)
}

// plan fills the platform and writes the document.
func (d *deployment) plan() error {
	doc := PlannedDocument()
	if err := d.writeDocument(doc); err != nil {
		return err
	}
	vms, err := d.vmRows()
	if err != nil {
		return err
	}
	groups, err := groupRows(doc)
	if err != nil {
		return err
	}
	return d.commit(append(vms, groups...))
}

// vmRows returns the rows of all VMs but the measured one.
func (d *deployment) vmRows() (rows []platform.Write, err error) {
	for i := 1; i < PlannedDaemons; i++ {
		vm := topology.VM{
			ID:          topology.VMID(fmt.Sprintf("other-%04d", i)),
			DataCentre:  dataCentre(i % (PlannedDataCentres - 1)),
			Region:      region,
			PeerAddress: d.shape.targetAddress(0),
			Incarnation: topology.Incarnation(time.Now().UnixNano()),
		}
		value, err := json.Marshal(vm)
		if err != nil {
			return nil, err
		}
		rows = append(rows, platform.Write{Key: view.VMKey(vm.ID), Value: value})
	}
	return rows, nil
}

func groupRows(doc *config.Document) (rows []platform.Write, err error) {
	for _, g := range doc.Groups {
		value, err := json.Marshal(plannedRow(&g))
		if err != nil {
			return nil, err
		}
		rows = append(rows, platform.Write{Key: view.GroupPrefix + string(g.ID()), Value: value})
	}
	return rows, nil
}

// commit writes rows to the platform, some at a time.
func (d *deployment) commit(rows []platform.Write) error {
	for some := range slices.Chunk(rows, rowsPerCommit) {
		if _, err := d.table.Commit(context.Background(), platform.Txn{Writes: some}); err != nil {
			return err
		}
	}
	return nil
}

func plannedRow(g *config.Group) topology.Group {
	row := topology.Group{ID: g.ID(), Version: 1, Term: 1, Primary: g.Targets[0].ID, ChangeID: "create/measure"}
	for n, t := range g.Targets[1:] {
		row.Promoters = append(row.Promoters, topology.Promoter{
			VM:          topology.VMID(fmt.Sprintf("other-%04d", n+1)),
			Incarnation: topology.Incarnation(time.Now().UnixNano()),
			Replica:     t.ID,
			Synced:      true,
		})
	}
	return row
}
