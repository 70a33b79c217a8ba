package commands

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/status"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/pkg/document"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// errNobody reports a status command to which no process answered.
var errNobody = errors.New("no process answered")

// statusOptions are the arguments of the status command.
type statusOptions struct {
	addresses []string
	log       string
	json      bool
	insecure  bool
	limit     time.Duration
	keys      keys.Options
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
	cmd.Flag("certificate", "The operator's certificate.").StringVar(&o.keys.Certificate)
	cmd.Flag("key", "The key of the certificate.").StringVar(&o.keys.Key)
	cmd.Flag("authority", "The site's authority.").StringVar(&o.keys.Authority)
	cmd.Flag("insecure-loopback", "Ask processes on loopback without TLS.").BoolVar(&o.insecure)
	return cmd.FullCommand(), func(ctx context.Context) error {
		o.view.Order = status.Order(*order)
		return showStatus(ctx, env, o)
	}
}

func showStatus(ctx context.Context, env *environment, o statusOptions) error {
	cfg, err := o.tls()
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

// tls returns the operator's side of connections; nil without TLS.
func (o statusOptions) tls() (*tls.Config, error) {
	if o.insecure {
		return nil, nil
	}
	if o.keys.Certificate == "" || o.keys.Key == "" || o.keys.Authority == "" {
		return nil, &document.FieldError{
			File: "arguments", Field: "certificate, key, authority", Allowed: "three PEM files, unless --insecure-loopback is given",
		}
	}
	k, err := keys.Load(o.keys)
	if err != nil {
		return nil, err
	}
	return k.Client(keys.Router, keys.Agent), nil
}

// all returns the addresses given and those of the configuration's agents.
func (o statusOptions) all(ctx context.Context) ([]string, error) {
	if o.log == "" {
		return o.addresses, nil
	}
	r, err := configuration.NewPublisher(platform.NewLog(o.log, &traffic.Counter{}), publishPause).Current(ctx)
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
