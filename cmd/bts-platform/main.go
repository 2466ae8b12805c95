// Command bts-platform is an in-memory stand-in for the platform (table, object
// store and VM list), for tests and the example. It is not part of a deployment.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/buckthornshore/buckthornshore/internal/logging"
	"github.com/buckthornshore/buckthornshore/internal/standin/platformd"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
)

type args struct {
	Listen   string `arg:"--listen" default:"127.0.0.1:7000" help:"address to serve on"`
	Seed     uint64 `arg:"--seed" default:"1" help:"decides which answers are lost"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

const headerTimeout = 5 * time.Second

func main() {
	var a args
	arg.MustParse(&a)
	log := logging.New(os.Stderr, "bts-platform", a.LogLevel)
	server := &http.Server{
		Addr:              a.Listen,
		Handler:           platformd.New(platform.NewMemory(), a.Seed).Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	log.Info("serving", "address", a.Listen)
	if err := server.ListenAndServe(); err != nil {
		log.Error("the HTTP server failed", "error", err)
		os.Exit(1)
	}
}
