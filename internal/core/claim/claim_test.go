package claim_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/claim"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

var _ = DescribeTable("the decision on a repeat",
	func(state claim.State, live bool, incarnation string, want claim.Decision) {
		row := claim.Row{State: state, Digest: "c", Incarnation: "first"}
		Expect(claim.Decide(row, "c", claim.Session{Incarnation: incarnation, Live: live})).To(Equal(want))
	},
	Entry("released", claim.Released, false, "first", claim.Acquire),
	Entry("answered", claim.Answered, false, "first", claim.Repeat),
	Entry("unknown", claim.Unknown, true, "first", claim.Lost),
	Entry("claimed by a live host", claim.Claimed, true, "first", claim.Wait),
	Entry("claimed by a dead host", claim.Claimed, false, "first", claim.Lost),
	Entry("claimed before the host restarted", claim.Claimed, true, "second", claim.Lost),
)

var _ = Describe("the digest of a request", func() {
	It("differs when kind and body differ but their concatenation is the same", func() {
		a := claim.Digest(schema.CallRequest{Kind: "ab", Body: "c"})
		b := claim.Digest(schema.CallRequest{Kind: "a", Body: "bc"})
		Expect(a).NotTo(Equal(b))
		Expect(claim.Decide(claim.Row{State: claim.Released, Digest: a}, b, claim.Session{})).To(Equal(claim.Mismatch))
	})
})
