package main

import (
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func init() { register("members", newMembersAdd) }

func newMembersAdd() *cobra.Command {
	lea := false
	cmd := &cobra.Command{
		Use:     "add NAME ADDRESS",
		Short:   "Add a control process, as a voter once it has caught up",
		Example: "  siskinrill members add control-6 127.0.0.1:9106\n  siskinrill members add spare-1 127.0.0.1:9107 --learner",
		Args:    cobra.MatchAll(cobra.ExactArgs(2), addressArg(1)),
		RunE: action(func(cmd *cobra.Command, args []string) error {
			return changeMembers(cmd, &controlpb.MembersRequest{
				Action: controlpb.MemberAction_MEMBER_ACTION_ADD, Name: args[0], Address: args[1], Learner: lea,
			})
		}),
	}
	cmd.Flags().BoolVar(&lea, "learner", false, "keep it as a learner, which has a copy of the log and does not vote")
	return cmd
}
