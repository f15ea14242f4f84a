package discovery

import (
	"context"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/directory"
)

// Source reads the store.
type Source interface {
	// Configuration returns the present configuration.
	Configuration(ctx context.Context) (*directory.Configuration, error)
	// Endpoints returns the full list of endpoints and the revision that it was
	// complete at.
	Endpoints(ctx context.Context) ([]directory.Endpoint, uint64, error)
}

const (
	readInterval = 500 * time.Millisecond
	readTimeout  = 500 * time.Millisecond
)

// Reader reads the store at intervals.
type Reader struct {
	Source    Source
	Knowledge *Knowledge
	Logger    *zap.Logger
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := readInterval
		if err := r.read(ctx); err != nil {
			r.Logger.Warn("store_read_failed", zap.Error(err))
			interval = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
	return nil
}

func (r *Reader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := r.Knowledge.Now()
	configuration, err := r.Source.Configuration(ctx)
	if err != nil {
		return err
	}
	endpoints, at, err := r.Source.Endpoints(ctx)
	if err != nil {
		return err
	}
	if r.Knowledge.Offer(configuration, endpoints, at, began) {
		r.Logger.Info("knowledge_changed", zap.Uint64("version", configuration.Version), zap.Int("endpoints", len(endpoints)), zap.Uint64("revision", at))
	}
	return nil
}
