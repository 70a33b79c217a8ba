package agent

// SetServerUp makes an agent whose loops do not run offer its slots.
func SetServerUp(a *Agent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.SetServerUp(true)
}

// InUse returns how many slots an agent holds for offers and runs.
func InUse(a *Agent) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.InUse()
}
