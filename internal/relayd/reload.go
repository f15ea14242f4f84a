package relayd

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/settings"
)

// pollInterval is the time between two checks of the settings file, which may change
// without a signal.
const pollInterval = 5 * time.Second

// Reloader applies changes of the settings file to a running instance.
type Reloader struct {
	Path     string
	Instance *Instance
	Level    zap.AtomicLevel
	Logger   *zap.Logger

	content []byte
}

// Run checks the settings file on each signal and at intervals, until the context ends.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	r.content, _ = os.ReadFile(r.Path)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.Logger.Info("reload_requested")
		case <-ticker.C:
		}
		r.reload(ctx)
	}
}

// reload applies the settings file if its content has changed and is valid.
func (r *Reloader) reload(ctx context.Context) {
	content, err := os.ReadFile(r.Path)
	if err != nil {
		r.Logger.Warn("settings_unreadable", zap.Error(err))
		return
	}
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	loaded, err := settings.Decode[settings.Relay](r.Path, content)
	if err != nil {
		r.Logger.Error("settings_refused", zap.Error(err))
		return
	}
	r.apply(ctx, loaded)
}

// apply applies the settings that can change at runtime, and logs whether changes
// of the others require a restart.
func (r *Reloader) apply(ctx context.Context, loaded *settings.Relay) {
	current := r.Instance.settings
	if err := r.Level.UnmarshalText([]byte(loaded.LogLevel)); err != nil {
		r.Logger.Error("settings_refused", zap.Error(err))
		return
	}
	r.Instance.syncer.SetApplyDeadline(ctx, applyDeadline(loaded))
	r.Instance.applyHedging(loaded)
	r.Instance.cache.SetWarmUpLimit(loaded.WarmUp.Excess, loaded.WarmUp.Burst)
	r.Logger.Info("settings_reloaded", zap.String("log_level", loaded.LogLevel),
		zap.Duration("apply_deadline", loaded.ApplyDeadline), zap.Duration("drain_apply_deadline", loaded.DrainApplyDeadline),
		zap.Duration("evacuation_deadline", loaded.EvacuationDeadline),
		zap.Float64("hedge_share", r.Instance.packetServer.HedgeLimits().Share), zap.Bool("restart_needed", restartNeeded(loaded, current)))
}

// restartNeeded reports whether a setting has changed that takes effect at a restart only.
func restartNeeded(loaded, current *settings.Relay) bool {
	return loaded.PacketListen != current.PacketListen || loaded.ReadyListen != current.ReadyListen ||
		loaded.PeerListen != current.PeerListen || loaded.MetricsListen != current.MetricsListen ||
		loaded.Store != current.Store || loaded.MaxFlows != current.MaxFlows || loaded.CloseSilent != current.CloseSilent ||
		loaded.Instance != current.Instance || loaded.DataCentre != current.DataCentre || loaded.Overflow != current.Overflow ||
		(loaded.EvacuationDeadline > 0) != (current.EvacuationDeadline > 0) ||
		loaded.WarmUp.Enabled() && !current.WarmUp.Enabled()
}
