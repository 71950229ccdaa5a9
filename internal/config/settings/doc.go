// Package settings reads the settings file of one process: a TOML section for each subject, checked before anything starts.
package settings
