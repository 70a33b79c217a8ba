// Command capacity prints the tables of docs/CAPACITY.md from measured slopes, one JSON object a line on
// standard input.
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
