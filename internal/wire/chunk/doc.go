// Package chunk reads bodies of requests and answers in chunks.
package chunk
