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

// errNoAnswer is returned by a status command that got no report from any process.
var errNoAnswer = errors.New("no process answered")

// statusOptions are the arguments of the status command.
type statusOptions struct {
	addresses []string
	log       string
	json      bool
	timeout   time.Duration
	operator  *operatorFlags
	view      status.View
}

func registerStatus(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := app.Command("status", "Show the state of running routers and agents.")
	var o statusOptions
	cmd.Arg("address", "A router's control_listen or an agent's listen address.").StringsVar(&o.addresses)
	cmd.Flag("log", "The IP address and port of the platform's log; adds all agents of the configuration in force.").StringVar(&o.log)
	cmd.Flag("json", "Print JSON.").BoolVar(&o.json)
	cmd.Flag("top", "The most rows of each table; 0 for all.").Default("20").IntVar(&o.view.Top)
	order := cmd.Flag("sort", "Order of the tables: trouble, service or name.").
		Default(string(status.ByTrouble)).Enum(status.Orders()...)
	cmd.Flag("timeout", "How long to wait for each process.").Default("2s").DurationVar(&o.timeout)
	o.operator = newOperatorFlags(cmd)
	return cmd.FullCommand(), func(ctx context.Context) error {
		o.view.Order = status.Order(*order)
		return showStatus(ctx, env, o)
	}
}

func showStatus(ctx context.Context, env *environment, o statusOptions) error {
	cfg, err := o.operator.tlsConfig(keys.Router, keys.Agent)
	if err != nil {
		return err
	}
	addresses, err := o.allAddresses(ctx)
	if err != nil {
		return err
	}
	reports, missing := status.NewReader(cfg, o.timeout).Read(ctx, addresses)
	s := status.Summarize(reports, missing)
	if o.json {
		err = json.NewEncoder(env.stdout).Encode(o.view.Apply(s))
	} else {
		err = o.view.Write(env.stdout, s)
	}
	if err == nil && len(reports) == 0 {
		err = errNoAnswer
	}
	return err
}

// allAddresses returns the given addresses and, with a log, those of all agents of the configuration in force.
func (o statusOptions) allAddresses(ctx context.Context) ([]string, error) {
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
