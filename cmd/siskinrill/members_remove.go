package main

import (
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func init() { register("members", newMembersRemove) }

func newMembersRemove() *cobra.Command {
	return &cobra.Command{
		Use:     "remove NAME",
		Short:   "Remove a control process from the group",
		Example: "  siskinrill members remove control-2",
		Args:    cobra.ExactArgs(1),
		RunE: action(func(cmd *cobra.Command, args []string) error {
			return changeMembers(cmd, &controlpb.MembersRequest{
				Action: controlpb.MemberAction_MEMBER_ACTION_REMOVE, Name: args[0],
			})
		}),
	}
}
