// Package team describes the teams that share a site's capacity.
package team

import (
	"crypto/sha256"
	"encoding/hex"
)

// Options are the settings of a Team.
type Options struct {
	// Weight is the team's share relative to other teams; 1 when zero.
	Weight int
	// TokenSHA256 is the SHA-256 digest, in hex, of the bearer token that authenticates the team; empty if it has none.
	TokenSHA256 string
}

// Team is a group of callers with a share of the site's capacity.
type Team struct {
	// name is unique in a site.
	name string
	// weight is at least 1 in a checked site.
	weight int
	// tokenSHA256 is empty or 64 lower-case hex digits in a checked site.
	tokenSHA256 string
}

// New returns the team called name.
func New(name string, o Options) Team {
	if o.Weight == 0 {
		o.Weight = 1
	}
	return Team{name: name, weight: o.Weight, tokenSHA256: o.TokenSHA256}
}

// TokenDigest returns the SHA-256 digest of a bearer token in hex, for Options.TokenSHA256.
func TokenDigest(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// Name returns the team's unique name.
func (t Team) Name() string { return t.name }

// Weight returns the team's share relative to other teams.
func (t Team) Weight() int { return t.weight }

// TokenSHA256 returns the SHA-256 digest of the team's token in hex; empty if it has none.
func (t Team) TokenSHA256() string { return t.tokenSHA256 }
