// Package failure contains only tests. They run a fleet of real processes, kill, freeze and stop some of them, and
// check that requests still end as promised.
package failure
