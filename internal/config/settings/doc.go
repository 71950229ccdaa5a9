// Package settings reads and checks the settings file of one process, a TOML file with a section for each subject.
package settings
