package httpanswer

import "net/http"

// IsUnframed reports whether the end of an answer is marked only by the end of its connection.
func IsUnframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
}
