// Package owner admits and runs attempts for the keys that this agent owns.
//
// An attempt passes these steps, and a refusal at any of them proves that it did not run:
//
//  1. its record is created; an attempt that has arrived before or was withdrawn is refused
//  2. session, row and lease are checked
//  3. a stored answer to its Idempotency-Key is returned, or it waits for the request that runs
//  4. it takes a slot under the concurrency limit, or waits in a queue ordered by aim and deadline
//  5. the grant is reported to the backend server, if that has not been done
//  6. it counts as running, then row and lease are checked again, and it is dispatched
//
// The order in step 6 makes releases safe: a release reads which attempts run after its row has
// changed, so an attempt that it does not see will read the changed row and be refused.
//
// The aim of a request is the time up to which its answer has its full value; the deadline is the time
// after which it has none.
//
// # Proofs
//
// Records of attempts that must not run twice are kept for 60 s after their deadline, and ids of all
// other ended attempts in two generations of at least 60 s, or less at a very high request rate. For
// older attempts only the highest dropped counter of each entry session is known. Nothing is stated
// about an attempt at or below it, because its record may have been dropped: a withdrawal is answered
// with unknown, and a delayed attempt is refused.
//
// # Locks
//
// One mutex guards the state of the owner. The session, the forwarder and the backend are not called
// while it is held, except for Options.Slots, which must not call the owner.
package owner
