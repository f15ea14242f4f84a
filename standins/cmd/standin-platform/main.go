// Command standin-platform simulates the platform's object API and instance list in
// tests and in the demo.
package main

import (
	"flag"
	"time"

	"burdockrelay.example/burdockrelay/standins/platform"
	"burdockrelay.example/burdockrelay/standins/process"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
)

func main() {
	var settings platform.Settings
	flag.StringVar(&settings.Listen, "listen", "127.0.0.1:9000", "TCP address of the API and the control interface")
	flag.IntVar(&settings.HistorySize, "history", 1000, "events retained for each collection")
	flag.DurationVar(&settings.BookmarkInterval, "bookmark", 5*time.Second, "time between bookmarks on a watch")
	flag.DurationVar(&settings.MaxWatchDuration, "max-watch", 5*time.Minute, "maximum duration of a watch")
	flag.Parse()

	process.Main("standin-platform", func(t *tomb.Tomb, logger *zap.Logger) error {
		started, err := platform.Start(t, settings)
		if err != nil {
			return err
		}
		logger.Info("started", zap.Stringer("listen", started.Address))
		return nil
	})
}
