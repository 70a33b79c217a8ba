package agent

// policyError reports a call that does not exist under the agent's policy.
type policyError struct {
	// Call is the name of the call.
	Call string
}

// Error implements error.
func (e *policyError) Error() string {
	return "call not supported under this agent's policy: " + e.Call
}
