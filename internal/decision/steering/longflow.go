package steering

import "burdockrelay.example/burdockrelay/internal/decision/selection"

// countLong counts the flow as an open long flow of its endpoint, until uncountLong.
func (f *flow) countLong() {
	if f.long {
		f.member.LongFlowBound()
	}
}

// uncountLong no longer counts the flow, which has ended. It may be called repeatedly.
func (f *flow) uncountLong() {
	if f.long {
		f.long = false
		f.member.LongFlowUnbound()
	}
}

// bind sets the endpoint of a flow that may have had another one.
func (f *flow) bind(to *selection.Member) {
	if f.long && to != f.member {
		f.member.LongFlowUnbound()
		to.LongFlowBound()
	}
	f.member = to
}
