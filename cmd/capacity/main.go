// Command capacity prints the tables of docs/CAPACITY.md from measured slopes, one JSON object a line on
// standard input.
package main

import (
	"encoding/json"
	"errors"
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
	var all []slopes.Slope
	dec := json.NewDecoder(r)
	for {
		var s slopes.Slope
		err := dec.Decode(&s)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		all = append(all, s)
	}
	rows, err := capacity.Rows(all, capacity.Design())
	if err != nil {
		return err
	}
	return capacity.Write(w, rows)
}
