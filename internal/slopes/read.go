package slopes

import (
	"encoding/json"
	"errors"
	"io"
)

// Read reads slopes, one JSON object a line, to the end of r.
func Read(r io.Reader) ([]Slope, error) {
	var out []Slope
	dec := json.NewDecoder(r)
	for {
		var s Slope
		err := dec.Decode(&s)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
}
