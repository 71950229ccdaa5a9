package actor

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/config/settings"
)

// ConfigureLog sets the level and format of the standard logger, which packages without a logger option use as well, and
// returns it.
func ConfigureLog(set settings.Log) *logrus.Logger {
	log := logrus.StandardLogger()
	if lvl, err := logrus.ParseLevel(set.Level); err == nil {
		log.SetLevel(lvl)
	}
	if set.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
		return log
	}
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return log
}
