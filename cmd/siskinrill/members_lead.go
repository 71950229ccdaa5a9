package main

import (
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func init() { register("members", newMembersLead) }

func newMembersLead() *cobra.Command {
	return &cobra.Command{
		Use:     "lead NAME",
		Short:   "Transfer leadership to a member",
		Example: "  siskinrill members lead control-3",
		Args:    cobra.ExactArgs(1),
		RunE: action(func(cmd *cobra.Command, args []string) error {
			return changeMembers(cmd, &controlpb.MembersRequest{
				Action: controlpb.MemberAction_MEMBER_ACTION_TRANSFER, Name: args[0],
			})
		}),
	}
}
