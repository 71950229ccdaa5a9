// Package rawclient plays callers that do not keep to HTTP or to the limits of a server.
package rawclient
