// Command bts-ctl is the operators' tool: it checks configurations offline,
// applies them, lists their history, rolls back and switches presets.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/buckthornshore/buckthornshore/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
