package logev_test

import (
	"os"

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

	It("has no duplicate number or name", func() {
		numbers, names := map[logev.Event]bool{}, map[string]bool{}
		for _, e := range logev.Entries() {
			Expect(numbers).NotTo(HaveKey(e.Event))
			Expect(names).NotTo(HaveKey(e.Name))
			numbers[e.Event], names[e.Name] = true, true
		}
	})
})
