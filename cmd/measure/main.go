// Command measure compares the scheduling policies under load. It is a test tool.
package main

import (
	"os"

	"github.com/laburnumring/laburnumring/internal/measure/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
