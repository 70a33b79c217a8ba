package routing_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/route"
)

// TestTableLookups checks the lookup of routes and teams, and the split of a route's requests by weight.
func TestTableLookups(t *testing.T) {
	r := func(name, host, prefix string) route.Route {
		return route.New(route.Options{
			Name: name, Host: host, Prefix: prefix,
			Targets: []route.Target{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}},
		})
	}
	table := routing.New(routing.Options{
		RequireKey: true,
		Routes:     []route.Route{r("short", "h", "/x/"), r("long", "h", "/x/y/"), r("other", "g", "/")},
		Teams:      []routing.Team{{Name: "ann", Keys: []string{"k1", "k2"}}, {Name: "bob", Keys: []string{""}}},
	})
	for _, c := range []struct{ host, path, want string }{
		{"h", "/x/1", "short"},
		{"H:8080", "/x/y/1", "long"},
		{"h", "/x/y", "short"},
		{"h", "/x", ""},
		{"g", "/x/y/1", "other"},
		{"f", "/x/", ""},
	} {
		got, ok := table.Route(c.host, c.path)
		if ok != (c.want != "") || got.Name() != c.want && ok {
			t.Errorf("%s%s: route %q, %v", c.host, c.path, got.Name(), ok)
		}
	}
	if name, ok := table.Team("k2"); name != "ann" || !ok {
		t.Errorf("team %q, %v", name, ok)
	}
	if _, ok := table.Team(""); ok {
		t.Error("an empty key authenticates a team")
	}
	counts := make(map[string]int)
	for i := range 100 {
		counts[r("", "", "").Service(float64(i)/100)]++
	}
	if counts["a"] != 90 || counts["b"] != 10 {
		t.Errorf("services %v, want 90 and 10", counts)
	}
}
