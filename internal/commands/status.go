package commands

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/status"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// errNobody reports a status command to which no process answered.
var errNobody = errors.New("no process answered")

// statusOptions are the arguments of the status command.
type statusOptions struct {
	addresses []string
	log       string
	json      bool
	limit     time.Duration
	operator  *operatorFlags
	view      status.View
}

func registerStatus(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := app.Command("status", "Show what running routers and agents do.")
	var o statusOptions
	cmd.Arg("address", "A router's control_listen or an agent's listen address.").StringsVar(&o.addresses)
	cmd.Flag("log", "The platform's log; adds all agents of the configuration in force.").StringVar(&o.log)
	cmd.Flag("json", "Print JSON.").BoolVar(&o.json)
	cmd.Flag("top", "Most rows of a table; 0 for all.").Default("20").IntVar(&o.view.Top)
	order := cmd.Flag("sort", "Order of the tables: trouble, service or name.").
		Default(string(status.ByTrouble)).Enum(status.Orders()...)
	cmd.Flag("timeout", "How long to wait for each process.").Default("2s").DurationVar(&o.limit)
	o.operator = newOperatorFlags(cmd)
	return cmd.FullCommand(), func(ctx context.Context) error {
		o.view.Order = status.Order(*order)
		return showStatus(ctx, env, o)
	}
}

func showStatus(ctx context.Context, env *environment, o statusOptions) error {
	cfg, err := o.operator.tls(keys.Router, keys.Agent)
	if err != nil {
		return err
	}
	addresses, err := o.all(ctx)
	if err != nil {
		return err
	}
	reports, missing := status.NewReader(cfg, o.limit).Read(ctx, addresses)
	s := status.Sum(reports, missing)
	if o.json {
		err = json.NewEncoder(env.stdout).Encode(o.view.Apply(s))
	} else {
		err = o.view.Write(env.stdout, s)
	}
	if err == nil && len(reports) == 0 {
		err = errNobody
	}
	return err
}

// all returns the addresses given and those of the configuration's agents.
func (o statusOptions) all(ctx context.Context) ([]string, error) {
	if o.log == "" {
		return o.addresses, nil
	}
	r, err := newPublisher(o.log).State(ctx)
	if err != nil {
		return nil, err
	}
	s, err := site.Parse("configuration", []byte(r.Text))
	if err != nil {
		return nil, err
	}
	out := o.addresses
	for _, v := range s.Servers() {
		out = append(out, v.Agent())
	}
	return out, nil
}
