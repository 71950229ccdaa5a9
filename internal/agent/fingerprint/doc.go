// Package fingerprint identifies requests that a caller sends again, whichever agent receives them.
package fingerprint
