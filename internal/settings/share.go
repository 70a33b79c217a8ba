package settings

import (
	"strconv"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Share holds the settings of an agent's fair share.
type Share struct {
	// PeriodMs is the time between two reports to the parent; 250 when zero.
	PeriodMs clock.Millis `yaml:"period_ms"`
	// LeadUnits is the most weighted service units by which a waiting team's counter may stand above the lowest one;
	// 4096 when zero. About ten times the largest usual request keeps the gap between the teams' shares small.
	LeadUnits int64 `yaml:"lead_units"`
}

// Limits and defaults of Share and of the token target.
const (
	defaultSharePeriod = 250 * clock.Millis(1)
	minSharePeriod     = 10 * clock.Millis(1)
	maxSharePeriod     = 1 * clock.Minute
	defaultLeadUnits   = 1 << 12
	maxLeadUnits       = 1 << 40
	maxTokenTarget     = 1 * clock.Minute
)

func (c *checker) share(s *Share) {
	if s.PeriodMs == 0 {
		s.PeriodMs = defaultSharePeriod
	}
	if s.LeadUnits == 0 {
		s.LeadUnits = defaultLeadUnits
	}
	if s.PeriodMs < minSharePeriod || s.PeriodMs > maxSharePeriod {
		c.fail("share.period_ms", strconv.FormatInt(int64(s.PeriodMs), 10), "a whole number from 10 to 60000")
	}
	if s.LeadUnits < 1 || s.LeadUnits > maxLeadUnits {
		c.fail("share.lead_units", strconv.FormatInt(s.LeadUnits, 10), "a whole number from 1 to 2^40")
	}
}

func (c *checker) policy(p *laburnumring.Policy) {
	switch *p {
	case "":
		*p = laburnumring.Fair
	case laburnumring.Fair, laburnumring.LocalFair, laburnumring.RoundRobin, laburnumring.TwoChoices:
	default:
		c.fail("policy", string(*p), "laburnumring, local_fair, round_robin or two_choices")
	}
}

func (c *checker) tokenTarget(m clock.Millis) {
	if m < 0 || m > maxTokenTarget {
		c.fail("token_target_ms", strconv.FormatInt(int64(m), 10), "a whole number from 0 to 60000")
	}
}
