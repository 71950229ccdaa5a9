package roundtrip

import "time"

const (
	// A new sample has a weight of 1/8 in the mean and 1/4 in the deviation, as in RFC 6298.
	meanWeight      = 8
	deviationWeight = 4
	// The timeout is the mean plus this many deviations.
	deviations = 4
	// Each expired timeout doubles the next one, up to this factor, until a sample is added.
	maxBackoff = 4
)

// Estimate is a smoothed duration with its deviation, computed as TCP does for its round-trip time; it is not safe for
// concurrent use.
type Estimate struct {
	mean      time.Duration
	deviation time.Duration
	known     bool
	backoff   time.Duration // factor of the timeout; 0 stands for 1
}

// Add includes a sample in the estimate and resets the backoff.
func (est *Estimate) Add(smp time.Duration) {
	est.backoff = 1
	if !est.known {
		est.mean, est.deviation, est.known = smp, smp/2, true
		return
	}
	est.deviation += ((smp - est.mean).Abs() - est.deviation) / deviationWeight
	est.mean += (smp - est.mean) / meanWeight
}

// Expire doubles the timeout until the next sample, up to four times the value without backoff.
func (est *Estimate) Expire() {
	est.backoff = min(2*max(est.backoff, 1), maxBackoff)
}

// Timeout returns the time after which an answer is overdue, 0 if there is no sample yet.
func (est *Estimate) Timeout() time.Duration {
	return (est.mean + deviations*est.deviation) * max(est.backoff, 1)
}
