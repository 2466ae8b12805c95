package load

import (
	"context"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Startup option, commands and result columns of a database's control connection.
const (
	optionControl   = "control"
	valueOn         = "on"
	showStatus      = "SHOW buckthornshore.status"
	columnRole      = "role"
	columnTerm      = "term"
	rolePrimary     = "primary"
	setDelayCommand = "BTS SET replication_delay '%s'"
)

// dialControl opens a control connection to a target.
func (i *injector) dialControl(ctx context.Context, id topology.TargetID) (*pgconn.PgConn, error) {
	t, ok := i.conf.Target(id)
	if !ok {
		return nil, invalid("no target %q", id)
	}
	return dial(ctx, t.Address, map[string]string{optionControl: valueOn})
}

func (i *injector) setReplicationDelay(ctx context.Context, id topology.TargetID, delay string) error {
	conn, err := i.dialControl(ctx, id)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	_, err = conn.Exec(ctx, fmt.Sprintf(setDelayCommand, delay)).ReadAll()
	return err
}

// primary returns the target of a group that is primary in the highest term.
func (i *injector) primary(ctx context.Context, group topology.GroupID) (string, error) {
	g, ok := i.conf.Group(group)
	if !ok {
		return "", invalid("no group %q", group)
	}
	var found topology.TargetID
	var highest uint64
	for _, t := range g.Targets {
		term, primary, err := i.queryRole(ctx, t.ID)
		if err == nil && primary && term >= highest {
			found, highest = t.ID, term
		}
	}
	if found == "" {
		return "", errors.Newf("group %s has no primary", group)
	}
	return string(found), nil
}

func (i *injector) queryRole(ctx context.Context, id topology.TargetID) (term uint64, primary bool, err error) {
	conn, err := i.dialControl(ctx, id)
	if err != nil {
		return 0, false, err
	}
	defer closeConn(conn)
	results, err := conn.Exec(ctx, showStatus).ReadAll()
	if err != nil {
		return 0, false, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return 0, false, errors.Newf("target %s returned no status row", id)
	}
	for n, field := range results[0].FieldDescriptions {
		value := string(results[0].Rows[0][n])
		switch field.Name {
		case columnRole:
			primary = value == rolePrimary
		case columnTerm:
			term, err = strconv.ParseUint(value, 10, 64)
		}
	}
	return term, primary, err
}
