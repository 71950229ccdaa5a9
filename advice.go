package siskinrill

import "time"

// UnnumberedLeaving is how long it counts, after it was last stated, that a backend server without an incarnation is
// leaving; a later start of such a server cannot be told from the one that was leaving.
const UnnumberedLeaving = 10 * time.Second
