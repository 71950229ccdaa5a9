package siskinrill

// Headers towards callers and backend servers.
const (
	// HeaderOutcome tells the caller whether its request ran: complete, not_run or unknown.
	HeaderOutcome = "Siskinrill-Outcome"
	// HeaderTimeout carries the rest of the deadline as a Go duration, from callers and to backend servers.
	HeaderTimeout = "Siskinrill-Timeout"
	// HeaderIdempotencyKey lets a caller resend a non-idempotent request safely.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFenceToken carries the fencing token of the key's grant to the backend server.
	HeaderFenceToken = "Siskinrill-Fence-Token"
	// HeaderFencePartition carries SERVICE/PARTITION, or SERVICE/PARTITION/KEY of an override, to the backend server.
	HeaderFencePartition = "Siskinrill-Fence-Partition"
	// HeaderFenceExpires carries the end of the lease to the backend server, in Unix milliseconds of the host's clock.
	HeaderFenceExpires = "Siskinrill-Fence-Expires"
	// HeaderNotRun with the value true in a backend server's refusal (409, 412, 429 or 503) is its proof that nothing ran.
	HeaderNotRun = "Siskinrill-Not-Run"
	// HeaderLoad in an answer of a backend server tells how many requests it runs and how many wait, and its slots, separated by commas.
	HeaderLoad = "Siskinrill-Load"
	// HeaderAttempt carries the attempt id ENTRY_SESSION-COUNTER to the backend server.
	HeaderAttempt = "Siskinrill-Attempt"
	// HeaderKey carries the key to the backend server, and from callers where the route does not take it from the path.
	HeaderKey = "Siskinrill-Key"
	// HeaderRetryAfter carries the advised wait to callers as a Go duration, which Retry-After rounds up to whole seconds.
	HeaderRetryAfter = "Siskinrill-Retry-After"
	// HeaderUpstream carries the id of the backend server that a request is meant for; another one at the same address must refuse it with 421.
	HeaderUpstream = "Siskinrill-Upstream"
	// HeaderHandover carries what a backend server that has given keys back leaves for their next owner.
	HeaderHandover = "Siskinrill-Handover"
)
