package metrics

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Paths of the admin address.
const (
	PathJSON   = "/metrics.json"
	PathText   = "/metrics"
	PathHealth = "/healthz"
	PathReady  = "/readyz"
)

// Ready returns why the daemon can't serve yet, or "" if it can.
type Ready func() (reason string)

// Handler serves the metrics and the health and readiness checks.
func Handler(r *Registry, ready Ready) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathJSON, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Snapshot()) // An error means that the client has disconnected.
	})
	mux.HandleFunc("GET "+PathText, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		writeText(w, r.Snapshot())
	})
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if reason := ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	return mux
}

// tagUpTo is the tag for a bucket's upper bound in the text format.
const tagUpTo = "up_to"

func writeText(w io.Writer, s Snapshot) {
	for _, c := range s.Counters {
		fmt.Fprintf(w, "%s %d\n", metricID(c.Name, c.Tags), c.Value)
	}
	for _, g := range s.Gauges {
		fmt.Fprintf(w, "%s %g\n", metricID(g.Name, g.Tags), g.Value)
	}
	for _, h := range s.Histograms {
		for _, b := range h.Buckets {
			tags := Tags{tagUpTo: b.UpTo}
			for name, value := range h.Tags {
				tags[name] = value
			}
			fmt.Fprintf(w, "%s %d\n", metricID(h.Name, tags), b.Count)
		}
	}
}
