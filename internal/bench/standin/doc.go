// Package standin implements a stand-in backend server for tests and measurements, with a limited number of slots,
// fault injection and a ledger of executed requests.
//
// A ledger row is added when a run starts, before the request body is read. Freezing the server blocks each request
// at one of three points: on arrival, after the fencing token check or before the answer. Unfreezing resumes
// all of them, including those whose clients have disconnected, as a suspended process does.
//
// A fault can close the request listener. A second listener stays open so that the fault can be removed; its URL is
// in the answer to PUT /standin/faults.
package standin
