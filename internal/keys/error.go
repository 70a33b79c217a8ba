package keys

import "fmt"

// FileError reports key files that cannot be used.
type FileError struct {
	// File is the path of the file.
	File string
	// Problem says what is wrong.
	Problem string
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("key file %s: %s", e.File, e.Problem) }

// UntrustedError reports the other side of a connection that may not have it.
type UntrustedError struct {
	// Identity is the holder that the certificate names; empty without one.
	Identity Identity
	// Problem says what is wrong.
	Problem string
}

// Error implements error.
func (e *UntrustedError) Error() string {
	if e.Identity.Role == "" {
		return "certificate refused: " + e.Problem
	}
	return fmt.Sprintf("certificate of %s %s refused: %s", e.Identity.Role, e.Identity.Name, e.Problem)
}
