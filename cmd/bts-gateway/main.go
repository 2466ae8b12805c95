// Command bts-gateway is the daemon that runs on the users' platform. It serves
// callers' sessions and opens the connections to the targets itself.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/buckthornshore/buckthornshore/internal/gatewayd"
)

type args struct {
	Settings string `arg:"positional,env:BUCKTHORNSHORE_CONFIG,required" help:"settings file, JSON with comments"`
	Check    bool   `help:"only check the settings"`
}

func main() {
	var a args
	arg.MustParse(&a)
	s, err := gatewayd.LoadSettings(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if a.Check {
		fmt.Println("the settings are valid")
		return
	}
	app := gatewayd.New(a.Settings, s)
	app.Run()
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
