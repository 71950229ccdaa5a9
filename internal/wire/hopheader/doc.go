// Package hopheader tells the header fields of HTTP that apply to a single connection, which are not forwarded (RFC 9110, section 7.6.1).
package hopheader
