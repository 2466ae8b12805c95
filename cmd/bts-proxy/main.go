// Command bts-proxy is the proxy daemon. It serves callers and pools the
// connections to the targets that are assigned to it.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/buckthornshore/buckthornshore/internal/daemon"
)

type args struct {
	Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
}

func main() {
	var a args
	arg.MustParse(&a)
	s, err := daemon.LoadSettings(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	daemon.New(s).Run()
}
