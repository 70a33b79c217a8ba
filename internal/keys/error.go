package keys

import "fmt"

// FileError reports a key file that cannot be read or is not valid.
type FileError struct {
	// File is the path of the file.
	File string
	// Problem describes the fault.
	Problem string
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("key file %s: %s", e.File, e.Problem) }

// UntrustedError reports that the other side of a connection is not authenticated or lacks the necessary role.
type UntrustedError struct {
	// Identity is that of the certificate; zero when there is none.
	Identity Identity
	// Problem describes the fault.
	Problem string
}

// Error implements error.
func (e *UntrustedError) Error() string {
	if e.Identity.Role == "" {
		return "certificate refused: " + e.Problem
	}
	return fmt.Sprintf("certificate of %s %s refused: %s", e.Identity.Role, e.Identity.Name, e.Problem)
}
