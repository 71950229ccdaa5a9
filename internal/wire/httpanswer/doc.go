// Package httpanswer tells answers that HTTP/1.1 does not allow from others. The client of net/http is lenient.
package httpanswer
