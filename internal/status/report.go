// Package status defines the status reports of routers and agents, reads them from running processes and summarizes
// them for operators.
package status

import "github.com/laburnumring/laburnumring/pkg/clock"

// Path is the URL path at which a process serves its report.
const Path = "/v1/status"

// Roles of processes.
const (
	RouterRole = "router"
	AgentRole  = "agent"
)

// States of servers and processes.
const (
	// Ready accepts requests.
	Ready = "ready"
	// Waiting has no configuration yet.
	Waiting = "waiting"
	// Leaving accepts no new requests, because it is shutting down.
	Leaving = "leaving"
	// Down has a backend server that does not answer.
	Down = "down"
	// Silent is a process that does not answer.
	Silent = "silent"
)

// Report is the status of one process as reported by itself.
type Report struct {
	// Role is router or agent; Name is the router's or the backend server's name.
	Role string `json:"role"`
	Name string `json:"name"`
	// Incarnation identifies the run of the process: it is different after each start.
	Incarnation string `json:"incarnation"`
	// State is one of the constants.
	State string `json:"state"`
	// Version is that of the configuration in force, 0 for none. AgeMs is how long it has been in force.
	Version int64        `json:"configuration_version"`
	AgeMs   clock.Millis `json:"configuration_age_ms"`
	// Teams are the teams for which the process has figures, sorted by service and team.
	Teams []Team `json:"teams"`
	// Servers is an agent's own server, or the servers to which a router is connected, as the router sees them.
	Servers []Server `json:"servers"`
}

// Team is one team's usage and queue at one service.
type Team struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	// Units is the cost, in service units, of the team's requests that ended at an agent.
	Units int64 `json:"service_units"`
	// Share is Units as a fraction of all units of the service, from 0 to 1. It is set in a Summary only.
	Share float64 `json:"share"`
	// Backlog is the number of requests that wait in a router, and OldestWaitMs how long the oldest has waited.
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
	// Slots is the most requests that may run at once, and Limit the number that the agent admits now, which it adapts
	// to the server's speed. Busy is the number of running requests, and Tickets that of requests announced as waiting.
	Slots   int `json:"slots"`
	Limit   int `json:"limit"`
	Busy    int `json:"busy"`
	Tickets int `json:"tickets"`
}
