package main

import "github.com/spf13/cobra"

func init() { register("members", newMembersShow) }

func newMembersShow() *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Show the members with their lag",
		Example: "  siskinrill members show --json",
		Args:    cobra.NoArgs,
		RunE:    action(runMembersShow),
	}
}
