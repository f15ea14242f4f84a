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

// registration is the content of an instance's object. Renewals makes each renewal a
// change, so that the object's revision tells whether the instance still runs.
type registration struct {
	Address  netip.AddrPort `json:"address"`
	Renewals uint64         `json:"renewals,omitempty"`
}

// Registry lets instances find each other through the store, and removes the
// registrations of those that are gone.
type Registry struct {
	Store  objectstore.Store
	Self   Peer
	Logger *zap.Logger
	// Now returns the time since some start.
	Now func() time.Duration
	// ReadsStore reports whether this instance is one of those that read the store.
	ReadsStore func() bool
	// RenewInterval is the time between renewals, defaultRenewInterval when 0.
	RenewInterval time.Duration
	// Peers are the instances known already. The store is asked for others only
	// while there are none.
	Peers *Peers
	// OnPeers is told of the other instances that the store lists.
	OnPeers func(ctx context.Context, peers ...*syncpb.Peer)

	renewals uint64
	// seen holds the registrations of others as this instance last saw them change.
	seen map[string]sighting
}

// sighting is a revision of a registration and when it was first seen.
type sighting struct {
	revision uint64
	at       time.Duration
}

const (
	defaultRenewInterval = 6 * time.Hour
	// lapsedIntervals is the number of intervals without a renewal after which a
	// registration is removed. An instance that the store turned away for so long
	// writes it again.
	lapsedIntervals = 4
	// registerDelay lets the seeds tell of the others first.
	registerDelay = 300 * time.Millisecond
	// registerTimeout bounds one call.
	registerTimeout = 2 * time.Second
)

// Run registers the instance, reads the others while none are known, and renews the
// registration at intervals until the context ends. What fails is tried again.
func (r *Registry) Run(ctx context.Context) error {
	if !objectstore.Sleep(ctx, registerDelay) {
		return nil
	}
	r.persist(ctx, func() error {
		err := r.register(ctx)
		if err == nil && r.Peers.Count() == 0 {
			err = r.find(ctx)
		}
		return err
	})
	interval := r.RenewInterval
	if interval == 0 {
		interval = defaultRenewInterval
	}
	for objectstore.Sleep(ctx, interval) {
		r.renewals++
		r.persist(ctx, func() error {
			err := r.register(ctx)
			if err == nil && r.ReadsStore() {
				err = r.removeLapsed(ctx, lapsedIntervals*interval)
			}
			return err
		})
	}
	return nil
}

func (r *Registry) persist(ctx context.Context, operation func() error) {
	objectstore.RetryUntilSuccess(ctx, operation, func(err error) {
		r.Logger.Info("registration_failed", zap.Error(err))
	})
}

// register writes the instance's object unless it is there already.
func (r *Registry) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	content, err := json.Marshal(registration{Address: r.Self.Address, Renewals: r.renewals})
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

// written reports whether an object is the registration of this instance, with its last
// renewal. An instance that has started again counts on from the renewals before.
func (r *Registry) written(present *objectstore.Object) bool {
	var content registration
	if err := json.Unmarshal(present.Content, &content); err != nil {
		r.Logger.Warn("registration_unreadable", zap.String("name", present.Name), zap.Error(err))
		return false
	}
	if r.renewals == 0 {
		r.renewals = content.Renewals
	}
	return content.Address == r.Self.Address && content.Renewals >= r.renewals
}

// find tells of the other instances that are registered.
func (r *Registry) find(ctx context.Context) error {
	objects, err := r.list(ctx)
	if err != nil {
		return err
	}
	var peers []*syncpb.Peer
	for _, object := range objects {
		var content registration
		if err := json.Unmarshal(object.Content, &content); err != nil {
			r.Logger.Warn("registration_unreadable", zap.String("name", object.Name), zap.Error(err))
			continue
		}
		peers = append(peers, &syncpb.Peer{Name: object.Name, Address: content.Address.String()})
	}
	r.OnPeers(ctx, peers...)
	return nil
}

// list returns the registrations of all instances.
func (r *Registry) list(ctx context.Context) ([]objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	objects, _, err := objectstore.ListAll(func(after string) (objectstore.Page, error) {
		return r.Store.List(ctx, instanceKind, after)
	})
	return objects, err
}

// removeLapsed removes the registrations that this instance has not seen change for a
// time.
func (r *Registry) removeLapsed(ctx context.Context, lapse time.Duration) error {
	objects, err := r.list(ctx)
	if err != nil {
		return err
	}
	now := r.Now()
	seen := make(map[string]sighting, len(objects))
	for i := range objects {
		object := &objects[i]
		former, known := r.seen[object.Name]
		if !known || former.revision != object.Revision {
			former = sighting{revision: object.Revision, at: now}
		}
		seen[object.Name] = former
		if object.Name != r.Self.Name && now-former.at >= lapse {
			r.remove(ctx, object, now-former.at)
		}
	}
	r.seen = seen
	return nil
}

// remove removes a registration unless it has been renewed meanwhile. A failure is left
// to the next interval.
func (r *Registry) remove(ctx context.Context, object *objectstore.Object, unchanged time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	err := r.Store.Delete(ctx, object.Kind, object.Name, object.Revision)
	r.Logger.Info("registration_removed", zap.String("peer", object.Name), zap.Uint64("revision", object.Revision),
		zap.Duration("unchanged", unchanged), zap.Error(err))
}
