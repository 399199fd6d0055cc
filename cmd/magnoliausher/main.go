// Command magnoliausher runs the server processes and the operator commands.
package main

import (
	"os"

	"github.com/magnoliausher/magnoliausher/cli"
)

func main() {
	os.Exit(cli.Main(os.Args))
}
