package main

import (
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func init() { register("members", newMembersReplace) }

func newMembersReplace() *cobra.Command {
	return &cobra.Command{
		Use:     "replace NAME ADDRESS",
		Short:   "Replace a failed control process with the one at an address",
		Long:    "Adds the process at ADDRESS, makes it a voter once it has caught up, and then removes the member NAME.",
		Example: "  siskinrill members replace control-2 127.0.0.1:9106",
		Args:    cobra.MatchAll(cobra.ExactArgs(2), addressArg(1)),
		RunE: action(func(cmd *cobra.Command, args []string) error {
			return changeMembers(cmd, &controlpb.MembersRequest{
				Action: controlpb.MemberAction_MEMBER_ACTION_REPLACE, Name: args[0], Address: args[1],
			})
		}),
	}
}

// addressArg checks that the argument at a position is IP:port.
func addressArg(pos int) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error { return settings.CheckAddress(args[pos]) }
}
