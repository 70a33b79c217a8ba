package agent

// TakeWork makes an agent whose loops stand still offer its slots.
func TakeWork(a *Agent) {
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
