package reachability

import (
	"math"
	"time"
)

// damper holds back a link that comes and goes, as RFC 2439 does for routes: each failure adds a
// penalty, which fades with a half-life. Above one threshold the link is suppressed, and it stays
// so until the penalty has faded below a lower one. The penalty has a ceiling, so that a link is
// back within a known time after its last failure.
type damper struct {
	settings   DamperSettings
	penalty    float64
	at         time.Duration // when penalty was reckoned
	suppressed bool
}

// DamperSettings say how a link that comes and goes is held back.
type DamperSettings struct {
	// HalfLife is within what time half of a penalty fades.
	HalfLife time.Duration
	// Suppress and Reuse are the thresholds, where one failure counts as 1.
	Suppress, Reuse float64
	// LongestSuppression bounds for how long a link is held back after its last failure.
	LongestSuppression time.Duration
}

// ceiling is the largest penalty: from there it fades to Reuse in LongestSuppression.
func (s DamperSettings) ceiling() float64 {
	return s.Reuse * math.Exp2(s.LongestSuppression.Seconds()/s.HalfLife.Seconds())
}

// fade lets the penalty fade until now, and the link be used again once it has.
func (d *damper) fade(now time.Duration) {
	if now > d.at {
		d.penalty *= math.Exp2(-(now - d.at).Seconds() / d.settings.HalfLife.Seconds())
		d.at = now
	}
	if d.suppressed && d.penalty < d.settings.Reuse {
		d.suppressed = false
	}
}

// failed records one more failure.
func (d *damper) failed(now time.Duration) {
	d.fade(now)
	d.penalty = min(d.penalty+1, max(d.settings.ceiling(), 1))
	if d.penalty >= d.settings.Suppress {
		d.suppressed = true
	}
}
