// Command capacity prints the tables of docs/CAPACITY.md. It reads the slopes measured by the command slopes from
// standard input, one JSON object per line.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/laburnumring/laburnumring/internal/capacity"
	"github.com/laburnumring/laburnumring/internal/slopes"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(r io.Reader, w io.Writer) error {
	all, err := slopes.Read(r)
	if err != nil {
		return err
	}
	rows, err := capacity.Rows(all, capacity.Design())
	if err != nil {
		return err
	}
	return capacity.Write(w, rows)
}
