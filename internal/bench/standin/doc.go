// Package standin is a stand-in backend server with a limited number of slots, fault injection and a
// ledger of what ran.
//
// A row is added to the ledger as a run starts, before the body is read. A frozen server stops
// wherever its requests are: on arrival, after the check of the fencing token, or before the answer;
// it goes on from there when the fault is lifted, also for clients that have gone, as a suspended
// process does.
//
// The listener for requests can be closed by a fault; a second listener, whose URL the answer to
// PUT /standin/faults names, stays open to lift it.
package standin
