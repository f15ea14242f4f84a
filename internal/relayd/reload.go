package relayd

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/settings"
)

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = 5 * time.Second

// Reloader applies changes of the settings file to a running instance.
type Reloader struct {
	Path     string
	Instance *Instance
	Level    zap.AtomicLevel
	Logger   *zap.Logger

	content []byte
}

// Run looks at the file at each signal and at intervals, until the context ends.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	r.content, _ = os.ReadFile(r.Path)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.Logger.Info("reload_requested")
		case <-ticker.C:
		}
		r.look(ctx)
	}
}

func (r *Reloader) look(ctx context.Context) {
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

// apply puts the settings in force that can change while the instance runs.
func (r *Reloader) apply(ctx context.Context, loaded *settings.Relay) {
	present := r.Instance.settings
	if err := r.Level.UnmarshalText([]byte(loaded.LogLevel)); err != nil {
		r.Logger.Error("settings_refused", zap.Error(err))
		return
	}
	r.Instance.syncer.SetBound(ctx, bound(loaded))
	restart := loaded.PacketListen != present.PacketListen || loaded.ReadyListen != present.ReadyListen ||
		loaded.PeerListen != present.PeerListen || loaded.MetricsListen != present.MetricsListen ||
		loaded.Store != present.Store || loaded.MaxFlows != present.MaxFlows ||
		loaded.Instance != present.Instance || loaded.DataCentre != present.DataCentre
	r.Logger.Info("settings_reloaded", zap.String("log_level", loaded.LogLevel),
		zap.Duration("apply_deadline", loaded.ApplyDeadline), zap.Duration("drain_apply_deadline", loaded.DrainApplyDeadline),
		zap.Bool("restart_needed", restart))
}
