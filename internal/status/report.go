// Package status describes what processes do at one moment, and sums it up for operators.
package status

import "github.com/laburnumring/laburnumring/pkg/clock"

// Path is where a process serves its report.
const Path = "/v1/status"

// Roles of processes.
const (
	RouterRole = "router"
	AgentRole  = "agent"
)

// States of servers and processes.
const (
	// Ready takes work.
	Ready = "ready"
	// Waiting holds no configuration yet.
	Waiting = "waiting"
	// Leaving takes no new work.
	Leaving = "leaving"
	// Down has a backend server that does not answer.
	Down = "down"
	// Silent does not answer itself.
	Silent = "silent"
)

// Report is what one process says of itself.
type Report struct {
	// Role is router or agent; Name is the router's or the backend server's name.
	Role string `json:"role"`
	Name string `json:"name"`
	// Incarnation is unique to the process's run.
	Incarnation string `json:"incarnation"`
	// State is one of the constants.
	State string `json:"state"`
	// Version is the configuration in force, 0 for none, and AgeMs since when it has been.
	Version int64        `json:"configuration_version"`
	AgeMs   clock.Millis `json:"configuration_age_ms"`
	// Teams are the teams that the process has something to say of, sorted by service and team.
	Teams []Team `json:"teams"`
	// Servers is an agent's own server, or what a router believes of those it is connected to.
	Servers []Server `json:"servers"`
}

// Team is one team's standing at one service.
type Team struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	// Units is the service that an agent has given to requests that ended, in service units.
	Units int64 `json:"service_units"`
	// Share is Units as a part of all units of the service, from 0 to 1; only in a Summary.
	Share float64 `json:"share"`
	// Backlog is how many requests wait in a router, and OldestWaitMs how long the first of them has.
	Backlog      int          `json:"backlog"`
	OldestWaitMs clock.Millis `json:"oldest_wait_ms"`
}

// Server is one backend server.
type Server struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Place   string `json:"place"`
	// State is one of the constants.
	State string `json:"state"`
	// Slots is the most requests at once and Limit how many the agent lets in now, which follows what the server
	// shows; Busy is how many run and Tickets how many are noted as waiting.
	Slots   int `json:"slots"`
	Limit   int `json:"limit"`
	Busy    int `json:"busy"`
	Tickets int `json:"tickets"`
}
