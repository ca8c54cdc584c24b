package verbs_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/ops/verbs"
)

func TestTheKeyIsNotShownInHelp(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("RATTANSHORE_OPERATOR_KEY", "op-secret")
	for _, args := range [][]string{{"--help"}, {"submit", "--help"}, {"domain", "out", "--help"}} {
		var out bytes.Buffer
		root := verbs.New(&out)
		root.SetArgs(args)
		g.Expect(root.Execute()).To(Succeed())
		g.Expect(out.String()).To(ContainSubstring("--key"))
		g.Expect(out.String()).NotTo(ContainSubstring("op-secret"))
	}
}

func TestTheKeyIsTakenFromTheEnvironmentUnlessGiven(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("RATTANSHORE_OPERATOR_KEY", "from-environment")
	var sent []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent = append(sent, r.Header.Get("X-Rattanshore-Key"))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, args := range [][]string{{"hosts"}, {"hosts", "--key", "given"}} {
		root := verbs.New(&bytes.Buffer{})
		root.SetArgs(append(args, "--operators", address))
		g.Expect(root.Execute()).NotTo(Succeed())
	}
	g.Expect(sent).To(Equal([]string{"from-environment", "given"}))
}
