// Package loadpolicy implements the load policies of services: which endpoints are
// eligible for new flows, and which of the candidates gets a new flow.
package loadpolicy

import (
	"cmp"
	"slices"

	"burdockrelay.example/burdockrelay/common"
)

// DefaultMaxEjectedPercent is the maximum percentage of a service's endpoints that
// may be ejected for bad health under a policy that sets none.
const DefaultMaxEjectedPercent = 50

// Eligible returns the endpoints that may get new flows, in the given order.
// Draining endpoints are never eligible. Endpoints that are down are ejected, up to
// maxEjectedPercent of those not draining (0 means DefaultMaxEjectedPercent). If
// all of them are down, none is ejected: wrong health reports are then more likely
// than a failure of every endpoint.
func Eligible(endpoints []common.Endpoint, maxEjectedPercent uint32) []common.Endpoint {
	active := make([]common.Endpoint, 0, len(endpoints))
	var down []common.EndpointID
	for _, endpoint := range endpoints {
		if endpoint.State == common.EndpointDraining {
			continue
		}
		active = append(active, endpoint)
		if endpoint.State == common.EndpointDown {
			down = append(down, endpoint.ID)
		}
	}
	if len(down) == len(active) {
		return active
	}
	ejected := ejected(down, ejectionLimit(len(active), maxEjectedPercent))
	return slices.DeleteFunc(active, func(e common.Endpoint) bool {
		return slices.Contains(ejected, e.ID)
	})
}

// ejectionLimit returns the maximum number of the active endpoints to eject.
func ejectionLimit(active int, percent uint32) int {
	if percent == 0 {
		percent = DefaultMaxEjectedPercent
	}
	return active * int(min(percent, 100)) / 100
}

// ejected selects the endpoints to eject by a hash of their IDs, so that all
// instances eject the same ones.
func ejected(down []common.EndpointID, limit int) []common.EndpointID {
	if len(down) <= limit {
		return down
	}
	slices.SortFunc(down, func(a, b common.EndpointID) int {
		return cmp.Compare(mix(uint64(a)), mix(uint64(b)))
	})
	return down[:limit]
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
