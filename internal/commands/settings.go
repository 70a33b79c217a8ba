package commands

import (
	"errors"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/pkg/document"
)

// logRejectedSettings logs err if it reports an invalid field of a process's settings, and returns err.
func logRejectedSettings(env *environment, role string, err error) error {
	var f *document.FieldError
	if errors.As(err, &f) {
		event.NewLogger(env.stderr, "logfmt", role).Log(event.SettingsRejected,
			"file", f.File, "line", f.Line, "field", f.Field, "value", f.Value, "allowed", f.Allowed)
	}
	return err
}
