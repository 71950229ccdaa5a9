package siskinrill

// Headers that are exchanged with callers and backend servers.
const (
	// HeaderOutcome states to the caller whether its request ran: complete, not_run or unknown.
	HeaderOutcome = "Siskinrill-Outcome"
	// HeaderHost carries the Host of the caller's request as a header field between agents.
	HeaderHost = "Host"
	// HeaderTimeout carries the remaining time until the deadline as a Go duration, from callers and to backend servers.
	HeaderTimeout = "Siskinrill-Timeout"
	// HeaderIdempotencyKey identifies a non-idempotent request, so that a caller can safely send it again.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFenceToken carries the fencing token under which the key is granted to the backend server.
	HeaderFenceToken = "Siskinrill-Fence-Token"
	// HeaderFencePartition carries SERVICE/PARTITION, or SERVICE/PARTITION/KEY of an override, to the backend server.
	HeaderFencePartition = "Siskinrill-Fence-Partition"
	// HeaderFenceExpires carries the end of the lease to the backend server, in Unix milliseconds of the host's clock.
	HeaderFenceExpires = "Siskinrill-Fence-Expires"
	// HeaderNotRun with the value true guarantees, in a refusal of a backend server (409, 412, 429 or 503), that the
	// request did not run.
	HeaderNotRun = "Siskinrill-Not-Run"
	// HeaderLoad in an answer of a backend server carries its numbers of running requests, waiting requests and slots,
	// separated by commas; a fourth number, how long work takes on its host in percent of normal, is not used.
	HeaderLoad = "Siskinrill-Load"
	// HeaderRateLimit in an answer of a backend server in need carries how many requests a second it accepts from all hosts
	// together, as a decimal number; the limit applies until an answer omits it.
	HeaderRateLimit = "Siskinrill-Rate-Limit"
	// HeaderLeaving with the value true in an answer of a backend server states that the server is leaving.
	HeaderLeaving = "Siskinrill-Leaving"
	// HeaderWarmup in an answer of a backend server, and in each of its health path, carries for how many whole
	// milliseconds it will remain cold.
	HeaderWarmup = "Siskinrill-Warmup-Ms"
	// HeaderAttempt carries the attempt id ENTRY_SESSION-COUNTER to the backend server, which repeats it in its answer, so
	// that the answer is not taken for that to another request.
	HeaderAttempt = "Siskinrill-Attempt"
	// HeaderKey carries the key to the backend server, and from callers where the route does not take it from the path.
	HeaderKey = "Siskinrill-Key"
	// HeaderRetryAfter carries the advised wait before a retry to callers as a Go duration; Retry-After has it rounded up
	// to full seconds.
	HeaderRetryAfter = "Siskinrill-Retry-After"
	// HeaderUpstream carries the id of the backend server that a request is sent to; another one at the same address must
	// refuse the request with 421. In an answer of the health path it carries the id of the server that answers.
	HeaderUpstream = "Siskinrill-Upstream"
	// HeaderHandover carries a text for the next owner of keys from the backend server that has released them.
	HeaderHandover = "Siskinrill-Handover"
)
