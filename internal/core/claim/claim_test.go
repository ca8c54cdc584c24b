package claim_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/claim"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

var _ = DescribeTable("the verdict on a repeat",
	func(state claim.State, live bool, incarnation string, want claim.Verdict) {
		row := claim.Row{State: state, Content: "c", Incarnation: "first"}
		Expect(claim.Judge(row, "c", claim.Session{Incarnation: incarnation, Live: live})).To(Equal(want))
	},
	Entry("released", claim.Released, false, "first", claim.Take),
	Entry("answered", claim.Answered, false, "first", claim.Repeat),
	Entry("unknown", claim.Unknown, true, "first", claim.Lost),
	Entry("claimed by a live host", claim.Claimed, true, "first", claim.Wait),
	Entry("claimed by a dead host", claim.Claimed, false, "first", claim.Lost),
	Entry("claimed before the host restarted", claim.Claimed, true, "second", claim.Lost),
)

var _ = Describe("the content digest", func() {
	It("differs when kind and body differ but their concatenation is the same", func() {
		a := claim.Content(schema.CallRequest{Kind: "ab", Body: "c"})
		b := claim.Content(schema.CallRequest{Kind: "a", Body: "bc"})
		Expect(a).NotTo(Equal(b))
		Expect(claim.Judge(claim.Row{State: claim.Released, Content: a}, b, claim.Session{})).To(Equal(claim.Mismatch))
	})
})
