package failure_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/fleet"
	"github.com/laburnumring/laburnumring/internal/standin/control"
	"github.com/laburnumring/laburnumring/internal/status"
	"github.com/laburnumring/laburnumring/pkg/header"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// inForceLimit is the users' bound on the time from a configuration's acceptance to its being in force.
const inForceLimit = 15 * time.Second

// withTeams returns a copy of f's site with further teams.
func withTeams(f *fleet.Fleet, names ...string) *site.Site {
	s := site.New(f.Site().Name())
	s.AddTeams(f.Site().Teams()...)
	for _, name := range names {
		s.AddTeams(team.New(name, team.Options{}))
	}
	s.AddServices(f.Site().Services()...)
	s.AddPlaces(f.Site().Places()...)
	s.AddServers(f.Site().Servers()...)
	return s
}

// agentVersion returns the configuration version that an agent has in force; 0 when it does not answer.
func agentVersion(ctx context.Context, address string) int64 {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+status.Path, http.NoBody)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var r status.Report
	if json.NewDecoder(resp.Body).Decode(&r) != nil {
		return 0
	}
	return r.Version
}

// knowsTeam reports whether a router serves a team's requests.
func knowsTeam(ctx context.Context, address, name string) bool {
	url := "http://" + address + "/v1/services/" + fleet.PlainService + "/call"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(name))
	if err != nil {
		return false
	}
	req.Header.Set(header.Team, name)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// inForce waits until every agent has version and every router serves the team called name, up to the bound.
func inForce(t *testing.T, f *fleet.Fleet, version int64, name string) {
	t.Helper()
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), inForceLimit)
	defer cancel()
	for _, s := range f.Site().Servers() {
		for agentVersion(ctx, s.Agent()) < version {
			if ctx.Err() != nil {
				t.Fatalf("agent of %s has version %d", s.Name(), agentVersion(t.Context(), s.Agent()))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for _, address := range f.Routers() {
		for !knowsTeam(ctx, address, name) {
			if ctx.Err() != nil {
				t.Fatalf("router at %s does not serve %s", address, name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("version %d in force everywhere after %v", version, time.Since(start))
}

// TestConfigurationUnderFaults publishes while the log loses replies, an agent and a router restart with no
// state and the log goes down right after it accepted.
func TestConfigurationUnderFaults(t *testing.T) {
	f := start(t)
	setFaults(t, f.Platform(), control.Faults{LoseReplies: 1})
	f.Process("model-pool-1-agent").Kill()
	must(t, f.Publish(t.Context(), withTeams(f, "new-1")))
	must(t, f.Process("model-pool-1-agent").Restart())
	inForce(t, f, 2, "new-1")

	setFaults(t, f.Platform(), control.Faults{Down: true})
	for _, name := range []string{"model-pool-1-agent", "model-pool-2-agent"} {
		f.Process(name).Kill()
		must(t, f.Process(name).Restart())
	}
	inForce(t, f, 2, "new-1")
	setFaults(t, f.Platform(), control.Faults{})
	must(t, f.Publish(t.Context(), withTeams(f, "new-1", "new-2")))
	inForce(t, f, 3, "new-2")
}

// TestOperatorsRace publishes two changes made from the same version at once: one wins everywhere, and the
// other operator is told.
func TestOperatorsRace(t *testing.T) {
	f := start(t)
	names := []string{"new-1", "new-2"}
	status := make([]int, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		text, err := withTeams(f, name).YAML()
		must(t, err)
		file := filepath.Join(t.TempDir(), fmt.Sprintf("%s.yaml", name))
		must(t, os.WriteFile(file, text, 0o600))
		wg.Go(func() { status[i] = publish(f, file, 1) })
	}
	wg.Wait()
	if status[0]+status[1] != 1 {
		t.Fatalf("exit statuses %v, want one 0 and one 1", status)
	}
	winner, loser := names[0], names[1]
	if status[0] != 0 {
		winner, loser = loser, winner
	}
	inForce(t, f, 2, winner)
	for _, address := range f.Routers() {
		if knowsTeam(t.Context(), address, loser) {
			t.Errorf("router at %s serves %s, which lost", address, loser)
		}
	}
}

// publish runs the operator's command and returns its exit status.
func publish(f *fleet.Fleet, file string, from int) int {
	cmd := exec.Command(filepath.Join(bin, "laburnumring"), "config", "publish",
		"--log", f.Platform(), "--from", fmt.Sprint(from), file)
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// TestTwoFaultsTogether freezes a router and takes the platform down while agents are killed.
func TestTwoFaultsTogether(t *testing.T) {
	f := start(t)
	drive(t, f, func() {
		time.Sleep(pause)
		setFaults(t, f.Platform(), control.Faults{Down: true})
		must(t, f.Process("router-2").Pause())
		f.Process("booking-app-1-agent").Kill()
		f.Process("model-pool-1-agent").Kill()
		time.Sleep(2 * pause)
		must(t, f.Process("booking-app-1-agent").Restart())
		must(t, f.Process("model-pool-1-agent").Restart())
		must(t, f.Process("router-2").Resume())
		setFaults(t, f.Platform(), control.Faults{LoseReplies: 5})
	})
}
