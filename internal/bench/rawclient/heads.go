package rawclient

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// requestLine begins each head.
const requestLine = "GET /shades/RS-1042 HTTP/1.1\r\nHost: shop.example\r\n"

// ShortLines returns an unfinished head of a number of lines with different names of a few digits and without values.
func ShortLines(lines int) []byte {
	var buf bytes.Buffer
	buf.WriteString(requestLine)
	for num := range lines {
		buf.WriteString(strconv.Itoa(num))
		buf.WriteString(":\r\n")
	}
	return buf.Bytes()
}

// OneName returns an unfinished head of a number of lines with the same name.
func OneName(line string, lines int) []byte {
	return []byte(requestLine + strings.Repeat(line+"\r\n", lines))
}

// Finish ends a head.
func Finish(head []byte) []byte { return append(head, "\r\n"...) }

// ListedInConnection returns a finished head whose Connection field lists a number of names, with as many lines beside it.
func ListedInConnection(names int) []byte {
	var list []string
	for num := range names {
		list = append(list, "y"+strconv.Itoa(num))
	}
	return Finish(fmt.Appendf(ShortLines(names), "Connection: %s\r\n", strings.Join(list, ",")))
}

// Odd returns heads that a server may refuse, but which must not harm it, by name.
func Odd() map[string][]byte {
	long := strings.Repeat("a", 20<<10)
	out := map[string][]byte{}
	for name, line := range map[string]string{
		"no colon":              "abc",
		"no name":               ": abc",
		"blank before colon":    "Abc : d",
		"folded":                "Abc: d\r\n e\r\n\tf",
		"folded first":          " Abc: d",
		"bare LF":               "Abc: d\nDef: g",
		"bare CR":               "Abc: d\rDef: g",
		"NUL":                   "Abc: d\x00e",
		"control byte in name":  "A\x01bc: d",
		"long name":             long + ": d",
		"long value":            "Abc: " + long,
		"transfer encodings":    strings.Repeat("Transfer-Encoding: chunked\r\n", 1000) + "Abc: d",
		"one long encoding":     "Transfer-Encoding: " + strings.Repeat("chunked,", 2000) + "chunked",
		"lengths":               strings.Repeat("Content-Length: 0\r\n", 1000) + "Abc: d",
		"different lengths":     "Content-Length: 1\r\nContent-Length: 2",
		"length that overflows": "Content-Length: 99999999999999999999",
		"expectations":          strings.Repeat("Expect: 100-continue\r\n", 1000) + "Abc: d",
		"hosts":                 strings.Repeat("Host: b\r\n", 1000) + "Abc: d",
		"upgrade":               "Connection: Upgrade\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__",
	} {
		out[name] = []byte(requestLine + line + "\r\n\r\n")
	}
	out["method without end"] = []byte(long)
	out["HTTP/2"] = []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	out["HTTP/0.9"] = []byte("GET /shades/RS-1042\r\n")
	out["not HTTP"] = []byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03")
	return out
}
