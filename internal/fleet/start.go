package fleet

// StartProcess starts a program as a process of its own whose output goes to logFile. Its caller ends it.
func StartProcess(name, path, logFile string, args ...string) (*Process, error) {
	p := &Process{name: name, path: path, args: args, logFile: logFile}
	if err := p.start(); err != nil {
		return nil, err
	}
	return p, nil
}
