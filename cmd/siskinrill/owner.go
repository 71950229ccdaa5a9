package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func init() { register("", newOwner) }

func newOwner() *cobra.Command {
	return &cobra.Command{
		Use:     "owner SERVICE KEY",
		Short:   "Show which upstream owns a key",
		Example: "  siskinrill owner shadefinder RS-1042",
		Args:    cobra.ExactArgs(2),
		RunE: action(func(cmd *cobra.Command, args []string) error {
			ans, err := client(cmd).Owner(cmd.Context(), args[0], args[1])
			if err != nil {
				return err
			}
			if asJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), ans)
			}
			fmt.Fprintln(cmd.OutOrStdout(), ownerText(ans))
			return nil
		}),
	}
}

func ownerText(ans *controlpb.OwnerAnswer) string {
	whe := fmt.Sprintf("%s %s: partition %d", ans.GetService(), ans.GetKey(), ans.GetPartition())
	if ans.GetOverridden() {
		whe += " (own override)"
	}
	if ans.GetSession() == 0 {
		return whe + ", no owner"
	}
	txt := fmt.Sprintf(
		"%s, upstream %s, agent %s, zone %s, session %d, token %d, %s",
		whe, ans.GetUpstream(), ans.GetNode(), ans.GetZone(), ans.GetSession(), ans.GetToken(), ans.GetPhase(),
	)
	if ans.GetCarrier() == "" {
		return txt
	}
	return txt + ", granted by " + ans.GetCarrier()
}
