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

type adminParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  Settings
	Registry  *metrics.Registry
	View      *view.View
	Entry     *entry.Server
	Operators *operators
	Log       *slog.Logger
}

// serveAdmin serves metrics, health checks and operators if the settings have an
// admin address.
func serveAdmin(p adminParams) {
	s, log := p.Settings, p.Log
	if s.AdminAddress == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/", metrics.Handler(p.Registry, func() string { return notReadyReason(p.View, p.Entry) }))
	mux.Handle(p.Operators.handler(s.OperatorSecret))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	p.Lifecycle.Append(fx.Hook{
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

// notReadyReason returns what the daemon still lacks to serve callers, or "" if it is
// ready.
func notReadyReason(v *view.View, e *entry.Server) string {
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
