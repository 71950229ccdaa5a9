// Package headerfield carries the values of HTTP headers between agents with the same bytes. Protocol buffers refuse strings that are
// not valid UTF-8, as values in ISO 8859-1 are.
package headerfield

import (
	"slices"
	"unicode/utf8"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// Set sets the name and the values of a field, which must not be modified afterwards.
func Set(fld *peerpb.HeaderField, name string, values []string) {
	fld.Name, fld.Values = name, values
	if !slices.ContainsFunc(values, func(val string) bool { return !utf8.ValidString(val) }) {
		return
	}
	fld.Latin1, fld.Values = true, make([]string, 0, len(values))
	for _, val := range values {
		fld.Values = append(fld.Values, toText(val))
	}
}

// Values returns the values of a field as they were set; they must not be modified.
func Values(fld *peerpb.HeaderField) []string {
	if !fld.GetLatin1() {
		return fld.GetValues()
	}
	values := make([]string, 0, len(fld.GetValues()))
	for _, txt := range fld.GetValues() {
		values = append(values, toBytes(txt))
	}
	return values
}

// toText returns a string with one character for each byte.
func toText(val string) string {
	txt := make([]rune, 0, len(val))
	for _, char := range []byte(val) {
		txt = append(txt, rune(char))
	}
	return string(txt)
}

// toBytes returns a string with one byte for each character.
func toBytes(txt string) string {
	val := make([]byte, 0, len(txt))
	for _, char := range txt {
		val = append(val, byte(char))
	}
	return string(val)
}
