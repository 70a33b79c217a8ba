package agent

// policyError reports a call that does not exist under the agent's policy.
type policyError struct {
	// Call is the name of the call.
	Call string
}

// Error implements error.
func (e *policyError) Error() string {
	return "the policy of this agent does not take the call " + e.Call
}
