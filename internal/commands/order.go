package commands

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/order"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// orderError reports an order that was not carried out, or may not have been.
type orderError struct {
	// Reply is the agent's reply.
	Reply peer.OrderReply
}

// Error implements error.
func (e *orderError) Error() string {
	if e.Reply.Reason == "fenced" {
		return fmt.Sprintf("order not carried out: the server has a newer fencing number: %d", e.Reply.Newest)
	}
	return fmt.Sprintf("order ended with outcome %s: %s", e.Reply.Outcome, e.Reply.Reason)
}

// leaseFlags are the flags of commands that acquire the lease on a backend server.
type leaseFlags struct {
	log     *string
	server  *string
	holder  *string
	ttl     *time.Duration
	force   *bool
	timeout *time.Duration
}

func newLeaseFlags(cmd *kingpin.CmdClause) leaseFlags {
	return leaseFlags{
		log:     cmd.Flag("log", "The IP address and port of the platform's log.").Required().String(),
		server:  cmd.Flag("server", "The backend server's name.").Required().String(),
		holder:  cmd.Flag("holder", "The name of the lease's holder.").Required().String(),
		ttl:     cmd.Flag("life", "The lease's TTL.").Default("30s").Duration(),
		force:   cmd.Flag("force", "Take over a lease that has not expired.").Bool(),
		timeout: cmd.Flag("timeout", "How long to try.").Default("30s").Duration(),
	}
}

// acquire acquires the lease and returns its fencing number.
func (f leaseFlags) acquire(ctx context.Context) (int64, error) {
	now := wallclock.New().Now()
	l := order.Lease{
		ID: uuid.NewString(), Server: *f.server, Holder: *f.holder, At: now, TTL: clock.FromDuration(*f.ttl),
	}
	t := order.NewAcquirer(platform.NewLog(*f.log, &traffic.Counter{}), publishRetryInterval)
	h, err := t.Acquire(ctx, now, l, *f.force)
	return h.Fence, err
}

func registerOrderLease(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := orderCommand(app).Command("lease", "Acquire the lease on a backend server and print its fencing number.")
	flags := newLeaseFlags(cmd)
	return cmd.FullCommand(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, *flags.timeout)
		defer cancel()
		fence, err := flags.acquire(ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(env.stdout, fence)
		return err
	}
}

func registerOrderSend(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := orderCommand(app).Command("send", "Give an order to a model engine through its agent.")
	flags := newLeaseFlags(cmd)
	operator := newOperatorFlags(cmd)
	agent := cmd.Flag("agent", "The IP address and port of the server's agent.").Required().String()
	fence := cmd.Flag("fence", "The fencing number of a lease already held; a lease is acquired when not given.").Default("-1").Int64()
	version := cmd.Flag("version", "The version of the model or adapter.").String()
	kinds := []string{string(laburnumring.LoadModel), string(laburnumring.LoadAdapter), string(laburnumring.SetRole)}
	kind := cmd.Arg("kind", "load_model, load_adapter or set_role.").Required().Enum(kinds...)
	name := cmd.Arg("name", "The name of the model, adapter or role.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, *flags.timeout)
		defer cancel()
		cfg, err := operator.tlsConfig(keys.Agent)
		if err != nil {
			return err
		}
		args := peer.OrderArgs{
			Server: *flags.server,
			Fence:  *fence,
			Order:  laburnumring.Order{Kind: laburnumring.OrderKind(*kind), Name: *name, Version: *version},
		}
		if args.Fence < 0 {
			if args.Fence, err = flags.acquire(ctx); err != nil {
				return err
			}
		}
		if err := sendOrder(ctx, *agent, cfg, args); err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.stdout, "carried out with fencing number %d\n", args.Fence)
		return err
	}
}

// sendOrder sends an order to an agent. It returns an error of type *orderError when the reply's outcome is not
// outcome.Whole or ctx ends before the reply.
func sendOrder(ctx context.Context, address string, cfg *tls.Config, args peer.OrderArgs) error {
	client, err := peer.DialOperator(ctx, address, cfg, &traffic.Counter{})
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	var reply peer.OrderReply
	call := client.Go(peer.OperatorService+".Order", args, &reply, nil)
	select {
	case <-ctx.Done():
		return &orderError{Reply: peer.OrderReply{Outcome: outcome.Unknown, Reason: "deadline"}}
	case <-call.Done:
	}
	if call.Error != nil {
		return errorx.Decorate(call.Error, "order to agent %s may have been carried out", address)
	}
	if reply.Outcome != outcome.Whole {
		return &orderError{Reply: reply}
	}
	return nil
}

func orderCommand(app *kingpin.Application) *kingpin.CmdClause {
	if c := app.GetCommand("order"); c != nil {
		return c
	}
	return app.Command("order", "Give orders to model engines.")
}
