package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func init() { register("", newMembers) }

func newMembers() *cobra.Command {
	cmd := newGroup("members", "Show or change the members of the control group")
	cmd.RunE = action(runMembersShow)
	cmd.Example = "  siskinrill members\n  siskinrill members add control-6 127.0.0.1:9106"
	return cmd
}

func runMembersShow(cmd *cobra.Command, _ []string) error {
	ans, err := client(cmd).Members(cmd.Context())
	if err != nil {
		return err
	}
	if asJSON(cmd) {
		return printJSON(cmd.OutOrStdout(), ans)
	}
	printMembers(cmd.OutOrStdout(), ans)
	return nil
}

func printMembers(out io.Writer, ans *controlpb.StatusAnswer) {
	tbl := newTable(out)
	fmt.Fprintln(tbl, "MEMBER\tADDRESS\tROLE\tLAG\tSILENT")
	for _, mbr := range ans.GetMembers() {
		rol := "voter"
		switch {
		case mbr.GetLeader():
			rol = "leader"
		case mbr.GetMember().GetLearner():
			rol = "learner"
		}
		fmt.Fprintf(
			tbl, "%s\t%s\t%s\t%d\t%d ms\n",
			mbr.GetMember().GetName(), mbr.GetMember().GetAddress(), rol, mbr.GetLag(), mbr.GetSilentMs(),
		)
	}
	_ = tbl.Flush()
}

// changeMembers submits a change of the membership and prints the resulting members.
func changeMembers(cmd *cobra.Command, req *controlpb.MembersRequest) error {
	ans, err := client(cmd).ChangeMembers(cmd.Context(), req)
	if err != nil {
		return err
	}
	if asJSON(cmd) {
		return printJSON(cmd.OutOrStdout(), ans)
	}
	out := cmd.OutOrStdout()
	if ans.GetDetail() != "" {
		fmt.Fprintln(out, ans.GetDetail())
	}
	for _, mbr := range ans.GetMembers().GetMembers() {
		knd := "voter"
		if mbr.GetLearner() {
			knd = "learner"
		}
		fmt.Fprintf(out, "%s  %s  %s\n", mbr.GetName(), mbr.GetAddress(), knd)
	}
	return nil
}
