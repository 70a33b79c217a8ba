// Command standins runs small stand-ins for the systems around the fleet.
package main

import (
	"os"

	"github.com/laburnumring/laburnumring/internal/standin/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
