package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"go.uber.org/fx"

	"github.com/buckthornshore/buckthornshore/internal/entry"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/view"
)

// serveAdmin serves metrics and health where the settings ask for it.
func serveAdmin(lc fx.Lifecycle, s Settings, r *metrics.Registry, v *view.View, e *entry.Server, log *slog.Logger) {
	if s.AdminAddress == "" {
		return
	}
	handler := metrics.Handler(r, func() string { return notReady(v, e) })
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", s.AdminAddress)
			if err != nil {
				return err
			}
			log.Info("event=admin_served", "address", s.AdminAddress)
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: server.Shutdown,
	})
}

// notReady says what the daemon still lacks to serve callers, or "".
func notReady(v *view.View, e *entry.Server) string {
	conf := v.Config()
	if conf == nil {
		return "no configuration is in force"
	}
	if !e.Serving() {
		return "callers are not served"
	}
	for _, id := range conf.AllGroups() {
		if v.Group(id) == nil {
			return fmt.Sprintf("the row of group %s is not known", id)
		}
	}
	return ""
}
