package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"google.golang.org/protobuf/proto"

	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
)

// printJSON writes a message as the admin API does.
func printJSON(out io.Writer, msg proto.Message) error {
	dat, err := adminhttp.Marshal(msg)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", dat)
	return err
}

// newTable returns a writer that aligns cells ended by tabs.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
}
