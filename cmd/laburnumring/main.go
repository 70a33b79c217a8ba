// Command laburnumring runs routers and agents, and has the operators' commands.
package main

import (
	"os"

	"github.com/laburnumring/laburnumring/internal/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
