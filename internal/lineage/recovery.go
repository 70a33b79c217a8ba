package lineage

import "github.com/laburnumring/laburnumring/pkg/clock"

// registrationTime is how long after a recovery of the platform servers may take to write their entries again: about two
// seconds by the platform's page on service discovery.
const registrationTime = 2500 * clock.Millis(1)

// recovery is what is known of the platform's latest recovery from a backup.
type recovery struct {
	// era is the platform's era, and eraAt when this router first used it; 0 before.
	era   int64
	eraAt clock.Millis
	// complete is set if routers have confirmed the record in this era.
	complete bool
	// survived is set if this router knew all versions when the era began.
	survived bool
}

// enterEra records that the platform answered in an era.
func (t *Tracker) enterEra(now clock.Millis, era int64) {
	if era > t.era {
		t.recovery = recovery{era: era, eraAt: now, survived: t.survived || t.Settled()}
	}
}

// ListRead records that the list was the platform's newest at the given time.
func (t *Tracker) ListRead(at clock.Millis) { t.listAt = max(t.listAt, at) }

// Settled reports whether the record and the list have what they lost in the platform's latest recovery, as far as it
// still matters: routers have confirmed the record since, or the list was read after all servers had time to register.
func (t *Tracker) Settled() bool { return t.complete || t.eraAt > 0 && t.listAt >= t.SettlesAt() }

// SettlesAt returns when the list has to be read for Settled to hold.
func (t *Tracker) SettlesAt() clock.Millis { return t.eraAt + registrationTime }

// Confirmable returns the era in which this router should confirm the record. It returns false if the record is
// confirmed, or may lack versions.
func (t *Tracker) Confirmable() (era int64, ok bool) {
	return t.era, !t.complete && t.Settled() && len(t.Unadmitted()) == 0
}

// Confirmed records that the record was confirmed in an era.
func (t *Tracker) Confirmed(era int64) {
	if era >= t.era {
		t.era, t.complete = era, true
	}
}
