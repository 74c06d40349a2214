package reachability

import (
	"math"
	"time"
)

// damper suppresses a flapping link, as RFC 2439 does for routes: each failure adds a penalty,
// which decays with a half-life. Once the penalty reaches an upper threshold, the link is
// suppressed until the penalty has decayed below a lower threshold. The penalty has a maximum,
// which bounds the time from the last failure until the link is used again.
type damper struct {
	settings   DamperSettings
	penalty    float64
	updatedAt  time.Duration // when the decay was last applied
	suppressed bool
}

// DamperSettings configure how a flapping link is suppressed.
type DamperSettings struct {
	// HalfLife is the time in which a penalty decays to half.
	HalfLife time.Duration
	// SuppressThreshold and ReuseThreshold are the upper and the lower threshold; one failure adds 1.
	SuppressThreshold, ReuseThreshold float64
	// MaxSuppression bounds how long a link stays suppressed after its last failure.
	MaxSuppression time.Duration
}

// maxPenalty returns the largest penalty, which decays to ReuseThreshold within MaxSuppression.
func (s DamperSettings) maxPenalty() float64 {
	return s.ReuseThreshold * math.Exp2(s.MaxSuppression.Seconds()/s.HalfLife.Seconds())
}

// decay applies the decay of the penalty up to now, and ends the suppression once the penalty is below
// the lower threshold.
func (d *damper) decay(now time.Duration) {
	if now > d.updatedAt {
		d.penalty *= math.Exp2(-(now - d.updatedAt).Seconds() / d.settings.HalfLife.Seconds())
		d.updatedAt = now
	}
	if d.suppressed && d.penalty < d.settings.ReuseThreshold {
		d.suppressed = false
	}
}

// recordFailure adds the penalty of one failure.
func (d *damper) recordFailure(now time.Duration) {
	d.decay(now)
	d.penalty = min(d.penalty+1, max(d.settings.maxPenalty(), 1))
	if d.penalty >= d.settings.SuppressThreshold {
		d.suppressed = true
	}
}
