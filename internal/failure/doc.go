// Package failure holds the tests that run real processes and kill, freeze and stop them.
package failure
