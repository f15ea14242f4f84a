package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/objectstore"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// instanceKind is the kind of the objects with which instances register in the store.
const instanceKind = "burdock-instances"

// registration is the content of an instance's object. Renewals is incremented on each
// renewal, so that the revision of the object changes while the instance runs.
type registration struct {
	Address  netip.AddrPort `json:"address"`
	Renewals uint64         `json:"renewals,omitempty"`
}

// Registry registers the instance in the store, finds other instances there, and
// removes the registrations of instances that no longer run.
type Registry struct {
	Store  objectstore.Store
	Self   Peer
	Logger *zap.Logger
	// Now returns the time since a fixed moment.
	Now func() time.Duration
	// ReadsStore reports whether this instance is one of those that read the store.
	ReadsStore func() bool
	// RenewInterval is the time between renewals, defaultRenewInterval if 0.
	RenewInterval time.Duration
	// Peers are the known instances. The registrations of others are read only while
	// there are none.
	Peers *Peers
	// OnPeers is called with the instances that are registered in the store.
	OnPeers func(ctx context.Context, peers ...*syncpb.Peer)
	// OnRegistered is called once after the registration of this instance, with the names
	// of all that are registered then. If it is nil, they are not read.
	OnRegistered func(names []string)
	// Restores receives a value after a restore of the store, which may have lost the
	// registration.
	Restores <-chan struct{}

	renewals uint64
	// lastSeen holds the last observed change of each registration, by instance name.
	lastSeen map[string]observation
}

// observation is a revision of a registration and when it was first observed.
type observation struct {
	revision common.Revision
	at       time.Duration
}

const (
	defaultRenewInterval = 6 * time.Hour
	// expiryIntervals is the number of renewal intervals without a renewal after which
	// a registration is removed. An instance that could not reach the store for that
	// long writes its registration again.
	expiryIntervals = 4
	// maxRenewals is more than an instance makes. A higher count was written by another
	// program, and would keep renewals from changing the object.
	maxRenewals = 1 << 32
	// registerDelay gives the seeds time to report other instances first.
	registerDelay = 300 * time.Millisecond
	// listDelay gives instances that start together the time to register before each of
	// them reads the list of registrations.
	listDelay = 2 * time.Second
	// listsPerSecond is the rate at which all instances together read the list after
	// they have started together. It is a fraction of the store's limits.
	listsPerSecond = 100
	// registerTimeout limits the duration of one operation on the store.
	registerTimeout = 2 * time.Second
	// restoredPerSecond is the rate at which all instances together write their
	// registrations again after a restore. It is a fraction of the store's limits.
	restoredPerSecond = 100
)

// Run registers the instance, reads the registrations of others while it knows no
// peers, and renews its registration at intervals and after a restore of the store until
// the context ends. It retries after errors.
func (r *Registry) Run(ctx context.Context) error {
	if !objectstore.Sleep(ctx, registerDelay) {
		return nil
	}
	r.retry(ctx, func() error {
		err := r.register(ctx)
		if err == nil && r.Peers.Count() == 0 {
			err = r.findPeers(ctx)
		}
		return err
	})
	r.listAfterRegistration(ctx)
	interval := r.RenewInterval
	if interval == 0 {
		interval = defaultRenewInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.renew(ctx, interval)
		case <-r.Restores:
			r.registerAfterRestore(ctx)
		}
	}
}

// renew renews the registration, and removes those that have not been renewed for
// expiryIntervals.
func (r *Registry) renew(ctx context.Context, interval time.Duration) {
	r.renewals++
	r.retry(ctx, func() error {
		err := r.register(ctx)
		if err == nil && r.ReadsStore() {
			err = r.removeExpired(ctx, expiryIntervals*interval)
		}
		return err
	})
}

// listAfterRegistration calls OnRegistered with the registered instances. The instances
// spread their calls.
func (r *Registry) listAfterRegistration(ctx context.Context) {
	spread := time.Duration(1+r.Peers.Count()) * time.Second / listsPerSecond
	if r.OnRegistered == nil || !objectstore.Sleep(ctx, listDelay+rand.N(spread)) {
		return
	}
	r.retry(ctx, func() error {
		objects, err := r.list(ctx)
		if err != nil {
			return err
		}
		names := make([]string, len(objects))
		for i := range objects {
			names[i] = objects[i].Name
		}
		r.OnRegistered(names)
		return nil
	})
}

// registerAfterRestore writes the registration again if the store has lost it. The
// instances spread their calls, because all of them notice a restore at about the same
// time.
func (r *Registry) registerAfterRestore(ctx context.Context) {
	spread := time.Duration(1+r.Peers.Count()) * time.Second / restoredPerSecond
	if objectstore.Sleep(ctx, rand.N(spread)) {
		r.retry(ctx, func() error { return r.register(ctx) })
	}
}

func (r *Registry) retry(ctx context.Context, operation func() error) {
	objectstore.RetryUntilSuccess(ctx, operation, func(err error) {
		r.Logger.Info("registration_failed", zap.Error(err))
	})
}

// register writes the instance's registration unless the stored one is current.
func (r *Registry) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	content, err := json.Marshal(registration{Address: r.Self.Address, Renewals: r.renewals})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	self := objectstore.Object{Kind: instanceKind, Name: r.Self.Name, Content: content}
	existing, err := r.Store.Create(ctx, self)
	code, _ := resultcode.Of(err)
	switch {
	case code != resultcode.PlatformExists:
	case r.isCurrent(&existing):
		err = nil
	default:
		// Conditional, so that a write that is executed late does not bring back an old address.
		self.Revision = existing.Revision
		_, err = r.Store.Update(ctx, self)
	}
	return err
}

// isCurrent reports whether an object is the registration of this instance with its
// last renewal. After a restart it first adopts the stored count of renewals, so that
// later renewals change the object.
func (r *Registry) isCurrent(existing *objectstore.Object) bool {
	var content registration
	if err := json.Unmarshal(existing.Content, &content); err != nil {
		r.Logger.Warn("registration_unreadable", zap.String("name", existing.Name), zap.Error(err))
		return false
	}
	if r.renewals == 0 {
		r.renewals = min(content.Renewals, maxRenewals)
	}
	return content.Address == r.Self.Address && content.Renewals >= r.renewals && content.Renewals <= maxRenewals
}

// findPeers calls OnPeers with the registered instances.
func (r *Registry) findPeers(ctx context.Context) error {
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
		if !content.Address.IsValid() || content.Address.Port() == 0 {
			r.Logger.Warn("registration_unreadable", zap.String("name", object.Name), zap.Stringer("address", content.Address))
			continue
		}
		peers = append(peers, &syncpb.Peer{Name: object.Name, Address: content.Address.String()})
	}
	r.OnPeers(ctx, peers...)
	return nil
}

// list returns the registrations of all instances, without objects that have no name.
func (r *Registry) list(ctx context.Context) ([]objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	objects, _, err := objectstore.ListAll(func(after string) (objectstore.Page, error) {
		return r.Store.List(ctx, instanceKind, after)
	})
	return slices.DeleteFunc(objects, func(o objectstore.Object) bool { return o.Name == "" }), err
}

// removeExpired removes the registrations of other instances that have not changed for
// the duration expiry.
func (r *Registry) removeExpired(ctx context.Context, expiry time.Duration) error {
	objects, err := r.list(ctx)
	if err != nil {
		return err
	}
	now := r.Now()
	lastSeen := make(map[string]observation, len(objects))
	for i := range objects {
		object := &objects[i]
		previous, known := r.lastSeen[object.Name]
		if !known || previous.revision != object.Revision {
			previous = observation{revision: object.Revision, at: now}
		}
		lastSeen[object.Name] = previous
		if object.Name != r.Self.Name && now-previous.at >= expiry {
			r.remove(ctx, object, now-previous.at)
		}
	}
	r.lastSeen = lastSeen
	return nil
}

// remove removes a registration unless it has been renewed in the meantime. A failed
// removal is retried in the next interval.
func (r *Registry) remove(ctx context.Context, object *objectstore.Object, unchanged time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	err := r.Store.Delete(ctx, object.Kind, object.Name, object.Revision)
	r.Logger.Info("registration_removed", zap.String("peer", object.Name), zap.Stringer("revision", object.Revision),
		zap.Duration("unchanged", unchanged), zap.Error(err))
}
