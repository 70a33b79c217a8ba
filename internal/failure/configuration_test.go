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

// inForceLimit is the longest time from the acceptance of a configuration until it is in force in all processes: 15
// seconds are required.
const inForceLimit = 15 * time.Second

// withTeams returns a copy of f's site with additional teams.
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

// servesTeam reports whether a router serves a team's requests.
func servesTeam(ctx context.Context, address, name string) bool {
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

// waitInForce waits until every agent has version in force and every router serves the team called name. It fails the
// test after inForceLimit.
func waitInForce(t *testing.T, f *fleet.Fleet, version int64, name string) {
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
		for !servesTeam(ctx, address, name) {
			if ctx.Err() != nil {
				t.Fatalf("router at %s does not serve %s", address, name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("version %d in force everywhere after %v", version, time.Since(start))
}

// TestConfigurationUnderFaults publishes while the log loses replies and an agent is down. The log then becomes
// unavailable right after it accepted the configuration, and two agents restart without state.
func TestConfigurationUnderFaults(t *testing.T) {
	f := startFleet(t)
	setFaults(t, f.Platform(), control.Faults{LoseReplies: 1})
	f.Process("model-pool-1-agent").Kill()
	must(t, f.Publish(t.Context(), withTeams(f, "new-1")))
	must(t, f.Process("model-pool-1-agent").Restart())
	waitInForce(t, f, 2, "new-1")

	setFaults(t, f.Platform(), control.Faults{Down: true})
	for _, name := range []string{"model-pool-1-agent", "model-pool-2-agent"} {
		f.Process(name).Kill()
		must(t, f.Process(name).Restart())
	}
	waitInForce(t, f, 2, "new-1")
	setFaults(t, f.Platform(), control.Faults{})
	must(t, f.Publish(t.Context(), withTeams(f, "new-1", "new-2")))
	waitInForce(t, f, 3, "new-2")
}

// TestConcurrentPublish publishes two changes to the same version at the same time. One must be in force in all
// processes, and the other command must fail.
func TestConcurrentPublish(t *testing.T) {
	f := startFleet(t)
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
	waitInForce(t, f, 2, winner)
	for _, address := range f.Routers() {
		if servesTeam(t.Context(), address, loser) {
			t.Errorf("router at %s serves %s, whose configuration was not accepted", address, loser)
		}
	}
}

// publish runs "laburnumring config publish" and returns its exit status.
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

// TestSimultaneousFaults freezes a router and makes the platform unavailable while agents are killed.
func TestSimultaneousFaults(t *testing.T) {
	f := startFleet(t)
	runLoad(t, f, func() {
		time.Sleep(faultInterval)
		setFaults(t, f.Platform(), control.Faults{Down: true})
		must(t, f.Process("router-2").Pause())
		f.Process("booking-app-1-agent").Kill()
		f.Process("model-pool-1-agent").Kill()
		time.Sleep(2 * faultInterval)
		must(t, f.Process("booking-app-1-agent").Restart())
		must(t, f.Process("model-pool-1-agent").Restart())
		must(t, f.Process("router-2").Resume())
		setFaults(t, f.Platform(), control.Faults{LoseReplies: 5})
	})
}
