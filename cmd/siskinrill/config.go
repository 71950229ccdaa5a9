package main

import "github.com/spf13/cobra"

func init() {
	register("", func() *cobra.Command {
		return newGroup("config", "Check, apply or show the configuration")
	})
}
