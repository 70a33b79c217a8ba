// Command standins runs small simulators of the systems around the fleet: the platform's log and VM list, model
// engines, plain services and a load of callers.
package main

import (
	"os"

	"github.com/laburnumring/laburnumring/internal/standin/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
