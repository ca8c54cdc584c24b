package logev_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/ops/logev"
)

var _ = Describe("the catalogue", func() {
	It("matches docs/EVENTS.md", func() {
		page, err := os.ReadFile("../../../docs/EVENTS.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(logev.Catalogue()))
	})

	// Guards against lines that hold as much as a caller sends, and against one that is cut
	// within a character.
	It("clips texts of callers", func() {
		Expect(logev.Clip("/v1/jobs")).To(Equal("/v1/jobs"))
		Expect(logev.Clip(strings.Repeat("ö", 1000))).To(Equal(strings.Repeat("ö", 128) + "..."))
		Expect(logev.Clip("x" + strings.Repeat("ö", 1000))).To(Equal("x" + strings.Repeat("ö", 127) + "..."))
	})

	It("has no duplicate number or name", func() {
		numbers, names := map[logev.Event]bool{}, map[string]bool{}
		for _, e := range logev.Entries() {
			Expect(numbers).NotTo(HaveKey(e.Event))
			Expect(names).NotTo(HaveKey(e.Name))
			numbers[e.Event], names[e.Name] = true, true
		}
	})
})
