package capacity

import (
	"log/slog"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/standin/database"
	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// HostDatabases runs a stand-in database for each target of a configuration in this
// process, without a simulated statement time.
func HostDatabases(doc *config.Document, log *slog.Logger) error {
	for _, g := range doc.Groups {
		for _, t := range g.Targets {
			db, err := database.New(database.Config{
				ID:          string(t.ID),
				DataCentre:  string(t.DataCentre),
				Slots:       t.Slots,
				Connections: t.Connections,
				ConnectTime: t.ConnectTime.Std(),
				Log:         log,
			})
			if err == nil {
				err = db.Listen(t.Address)
			}
			if err != nil {
				return errors.Wrapf(err, "target %s", t.ID)
			}
		}
	}
	return nil
}
