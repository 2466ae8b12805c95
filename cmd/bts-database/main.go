// Command bts-database is a stand-in for one replicated database, for tests
// and the load tool. It is not part of a deployment.
package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/buckthornshore/buckthornshore/internal/logging"
	"github.com/buckthornshore/buckthornshore/internal/standin/database"
)

type args struct {
	ID               string        `arg:"--id,required" help:"name of the database in its group"`
	Listen           string        `arg:"--listen" default:"127.0.0.1:0" help:"address to serve on"`
	DataCentre       string        `arg:"--data-centre" help:"data centre of the database"`
	Slots            int           `arg:"--slots" default:"2" help:"statements that run at once"`
	Connections      int           `arg:"--connections" default:"16" help:"connections at once"`
	ConnectTime      time.Duration `arg:"--connect-time" default:"10ms" help:"what a new connection costs"`
	StatementTime    time.Duration `arg:"--statement-time" default:"1ms" help:"how long a statement holds a slot"`
	DataFile         string        `arg:"--data-file" help:"keeps the data over a restart"`
	ReplicationDelay time.Duration `arg:"--replication-delay" default:"0s" help:"lag added before applying"`
	LogLevel         string        `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

func main() {
	var a args
	arg.MustParse(&a)
	log := logging.New(os.Stderr, "bts-database", a.LogLevel)
	db, err := database.New(database.Config{
		ID: a.ID, DataCentre: a.DataCentre,
		Slots: a.Slots, Connections: a.Connections,
		ConnectTime: a.ConnectTime, StatementTime: a.StatementTime,
		DataFile: a.DataFile, ReplicationDelay: a.ReplicationDelay, Log: log,
	})
	if err == nil {
		err = db.Listen(a.Listen)
	}
	if err != nil {
		log.Error("cannot start the database", "error", err)
		os.Exit(1)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	db.Close()
}
