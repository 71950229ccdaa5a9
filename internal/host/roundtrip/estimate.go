package roundtrip

import "time"

const (
	// Weights of a new sample in the mean and in the deviation, as in RFC 6298.
	meanWeight      = 8
	deviationWeight = 4
	// A timeout lies this many deviations above the mean.
	deviations = 4
	// Each wrong suspicion doubles the timeout until the next sample, up to this factor.
	maxBackoff = 4
)

// Estimate is a smoothed duration with its deviation, as TCP keeps of its round trips; it is not safe for concurrent use.
type Estimate struct {
	mean      time.Duration
	deviation time.Duration
	known     bool
	backoff   time.Duration // factor, 0 for 1
}

// Add takes a sample and ends the backoff.
func (est *Estimate) Add(smp time.Duration) {
	est.backoff = 1
	if !est.known {
		est.mean, est.deviation, est.known = smp, smp/2, true
		return
	}
	est.deviation += ((smp - est.mean).Abs() - est.deviation) / deviationWeight
	est.mean += (smp - est.mean) / meanWeight
}

// Expire doubles the timeout until the next sample.
func (est *Estimate) Expire() {
	est.backoff = min(2*max(est.backoff, 1), maxBackoff)
}

// Timeout returns the time after which a sample is late, 0 if none is known.
func (est *Estimate) Timeout() time.Duration {
	return (est.mean + deviations*est.deviation) * max(est.backoff, 1)
}
