// Package loadpolicy decides which endpoints may get new flows and which of
// them gets one.
package loadpolicy

import (
	"cmp"
	"slices"

	"burdockrelay.example/burdockrelay/common"
)

// DefaultMaxEjectedPercent applies when a policy sets none: at most half of a
// service's endpoints are left out for bad health.
const DefaultMaxEjectedPercent = 50

// Eligible returns the endpoints that may get new flows, in the given order.
// Draining endpoints never may. Down endpoints are left out up to the policy's
// share; when all are down, all are used, because the reports are then more
// likely wrong than the endpoints.
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

func ejectionLimit(active int, percent uint32) int {
	if percent == 0 {
		percent = DefaultMaxEjectedPercent
	}
	return active * int(min(percent, 100)) / 100
}

// ejected picks the endpoints to leave out by a hash of their numbers, so that
// all instances leave out the same ones.
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
