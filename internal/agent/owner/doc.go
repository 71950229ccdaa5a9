// Package owner admits attempts for the keys that this agent owns.
//
// An attempt passes these steps, and a refusal at any of them proves that it did not run:
//
//  1. its record is made; an attempt that was here before, or was withdrawn, is refused
//  2. session, row and lease are checked
//  3. a remembered answer to its Idempotency-Key ends it, or it waits for the request that runs
//  4. it takes a slot under the concurrency limit, or waits in a queue ordered by deadline
//  5. the backend server is told of the grant, if it does not know it
//  6. it counts as running, then row and lease are checked again, and it is handed over
//
// The order in step 6 makes releases safe: a release reads which attempts run after its row has
// changed, so an attempt that it does not see will read the changed row and be refused.
//
// # Proofs
//
// Records of attempts that ran at most once are kept for 60 s after their deadline, and ids of all
// other ended attempts in two generations of at least 60 s, or less under very many requests. Below
// them only the highest forgotten counter of each entry session is known. Nothing is claimed about
// an attempt at or under it, because its record may have been dropped: a withdrawal is answered with
// unknown, and a late arrival is refused.
//
// # Locks
//
// One mutex guards the state of the owner. The session, the forwarder and the backend are not called
// under it, except for Options.Slots, which must not call the owner.
package owner
