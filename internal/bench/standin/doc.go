// Package standin is a stand-in backend server with a limited number of slots, fault injection and a ledger of what ran.
package standin
