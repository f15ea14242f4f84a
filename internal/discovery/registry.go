package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/objectstore"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// instanceKind is the kind of the objects by which instances find each other.
const instanceKind = "burdock-instances"

// registration is the content of an instance's object.
type registration struct {
	Address netip.AddrPort `json:"address"`
}

// Registry lets instances find each other through the store.
type Registry struct {
	Store  objectstore.Store
	Self   Peer
	Logger *zap.Logger
	// Peers are the instances known already. The store is asked for others only
	// while there are none.
	Peers *Peers
	// Found is told of the other instances that the store lists.
	Found func(ctx context.Context, peers ...*syncpb.Peer)
}

const (
	// registerDelay lets the seeds tell of the others first.
	registerDelay = 300 * time.Millisecond
	// registerTimeout bounds one call.
	registerTimeout = 2 * time.Second
)

// Run registers the instance and reads the others once, again until it succeeds.
func (r *Registry) Run(ctx context.Context) error {
	select {
	case <-time.After(registerDelay):
	case <-ctx.Done():
		return nil
	}
	objectstore.Persist(ctx, func() error {
		err := r.register(ctx)
		if err == nil && r.Peers.Count() == 0 {
			err = r.list(ctx)
		}
		return err
	}, func(err error) {
		r.Logger.Info("registration_failed", zap.Error(err))
	})
	return nil
}

// register writes the instance's object unless it is there already.
func (r *Registry) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	content, err := json.Marshal(registration{Address: r.Self.Address})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	own := objectstore.Object{Kind: instanceKind, Name: r.Self.Name, Content: content}
	present, err := r.Store.Create(ctx, own)
	code, _ := resultcode.Of(err)
	switch {
	case code != resultcode.PlatformExists:
	case r.written(&present):
		err = nil
	default:
		_, err = r.Store.Update(ctx, own)
	}
	return err
}

// written reports whether an object is the registration of this instance as it is.
func (r *Registry) written(present *objectstore.Object) bool {
	var content registration
	err := json.Unmarshal(present.Content, &content)
	return err == nil && content.Address == r.Self.Address
}

func (r *Registry) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	after := ""
	for {
		listing, err := r.Store.List(ctx, instanceKind, after)
		if err != nil {
			return err
		}
		var peers []*syncpb.Peer
		for _, object := range listing.Objects {
			after = object.Name
			var content registration
			if err := json.Unmarshal(object.Content, &content); err != nil {
				r.Logger.Warn("registration_unreadable", zap.String("name", object.Name), zap.Error(err))
				continue
			}
			peers = append(peers, &syncpb.Peer{Name: object.Name, Address: content.Address.String()})
		}
		r.Found(ctx, peers...)
		if !listing.More || len(listing.Objects) == 0 {
			return nil
		}
	}
}
