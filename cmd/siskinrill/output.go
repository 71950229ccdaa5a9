package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"google.golang.org/protobuf/proto"

	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
)

// printJSON writes a message in the JSON form of the admin API.
func printJSON(out io.Writer, msg proto.Message) error {
	dat, err := adminhttp.Marshal(msg)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", dat)
	return err
}

// newTable returns a writer that aligns tab-terminated cells.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
}
