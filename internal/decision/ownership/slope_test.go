package ownership

import (
	"fmt"
	"testing"

	"burdockrelay.example/burdockrelay/common"
)

// Measures full and incremental builds by group size; docs/CAPACITY.md has the
// results.
func BenchmarkViewSlope(b *testing.B) {
	for _, count := range []int{48, 96, 192} {
		all := members(count)
		b.Run(fmt.Sprintf("build/members=%d", count), func(b *testing.B) {
			for b.Loop() {
				Build(all, nil)
			}
		})
		table := Build(all, nil)
		fewer := members(count)
		fewer[7].State = common.MemberDead
		b.Run(fmt.Sprintf("leave/members=%d", count), func(b *testing.B) {
			for b.Loop() {
				Build(fewer, table)
			}
		})
	}
}
