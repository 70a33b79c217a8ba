package commands

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/pkg/document"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// tokenBytes is the number of random bytes in a team's token, before base64 encoding.
const tokenBytes = 32

func keysCommand(app *kingpin.Application) *kingpin.CmdClause {
	if c := app.GetCommand("keys"); c != nil {
		return c
	}
	return app.Command("keys", "Create keys and tokens for a trial site.")
}

func registerKeysAuthority(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := keysCommand(app).Command("authority", "Create a site's certificate authority.")
	dir := cmd.Flag("dir", "The directory for the files.").Required().String()
	days := cmd.Flag("days", "How many days the authority is valid.").Default("365").Int()
	return cmd.FullCommand(), func(context.Context) error {
		validity, err := validityOfDays(*days)
		if err != nil {
			return err
		}
		if _, err := keys.NewTrialAuthority(*dir, time.Now(), validity); err != nil {
			return err
		}
		_, err = fmt.Fprintln(env.stdout, keys.AuthorityFile)
		return err
	}
}

func registerKeysIssue(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := keysCommand(app).Command("issue", "Issue a certificate signed by the site's authority.")
	dir := cmd.Flag("dir", "The directory with the authority.").Required().String()
	days := cmd.Flag("days", "How many days the certificate is valid.").Default("30").Int()
	role := cmd.Arg("role", "router, agent, operator or team.").Required().
		Enum(string(keys.Router), string(keys.Agent), string(keys.Operator), string(keys.Team))
	names := cmd.Arg("name", "The holder's name; each name given gets its own certificate.").Required().Strings()
	return cmd.FullCommand(), func(context.Context) error {
		validity, err := validityOfDays(*days)
		if err != nil {
			return err
		}
		trial, err := keys.OpenTrialAuthority(*dir, time.Now())
		if err != nil {
			return err
		}
		for _, name := range *names {
			if err := issue(env, trial, keys.Identity{Role: keys.Role(*role), Name: name}, validity); err != nil {
				return err
			}
		}
		return nil
	}
}

func issue(env *environment, trial *keys.TrialAuthority, id keys.Identity, validity time.Duration) error {
	if !site.ValidName(id.Name) {
		return &document.FieldError{
			File: "arguments", Field: "name", Value: id.Name, Allowed: "lower-case letters, digits and hyphens, at most 63",
		}
	}
	o, err := trial.Issue(id, validity)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(env.stdout, o.Certificate)
	return err
}

func registerKeysToken(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := keysCommand(app).Command("token", "Create a team's token and print it with its digest for the configuration.")
	return cmd.FullCommand(), func(context.Context) error {
		p := make([]byte, tokenBytes)
		_, _ = rand.Read(p)
		token := base64.RawURLEncoding.EncodeToString(p)
		_, err := fmt.Fprintf(env.stdout, "token: %s\ntoken_sha256: %s\n", token, team.TokenDigest(token))
		return err
	}
}

func validityOfDays(days int) (time.Duration, error) {
	const day = 24 * time.Hour
	if days < 1 {
		return 0, &document.FieldError{
			File: "arguments", Field: "days", Value: fmt.Sprint(days), Allowed: "a whole number from 1",
		}
	}
	return time.Duration(days) * day, nil
}
