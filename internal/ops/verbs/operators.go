package verbs

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

func (a *app) domainCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "domain", Short: "Take failure domains out of service and bring them back"}
	cmd.AddCommand(
		a.domainSet("out", "Take a failure domain out of service", false),
		a.domainSet("in", "Bring a failure domain back into service", true),
		a.domainList(),
	)
	return cmd
}

func (a *app) domainSet(verb, short string, inService bool) *cobra.Command {
	var change schema.DomainChange
	cmd := &cobra.Command{
		Use:   verb + " DOMAIN",
		Short: short,
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			change.InService = inService
			client, err := a.operatorClient()
			if err != nil {
				return err
			}
			r, err := client.SetDomainWithResponse(cmd.Context(), args[0], change)
			if err != nil {
				return callError(err)
			}
			status, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(status, domainTable(status))
		},
	}
	cmd.Flags().StringVar(&change.Reason, "reason", "", "reason to record with the change")
	cmd.Flags().Int64Var(&change.ExpectedEpoch, "expected-epoch", 0, "refuse the change unless the domain is at this epoch")
	return cmd
}

func domainTable(domains ...schema.DomainStatus) textTable {
	t := textTable{header: []string{"id", "in-service", "epoch", "changed-at", "reason"}}
	for _, d := range domains {
		t.rows = append(t.rows, []string{d.ID, fmt.Sprint(d.InService), fmt.Sprint(d.Epoch), timeText(d.ChangedAt), d.Reason})
	}
	return t
}

func (a *app) domainList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the failure domains",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := a.operatorClient()
			if err != nil {
				return err
			}
			r, err := client.ListDomainsWithResponse(cmd.Context())
			if err != nil {
				return callError(err)
			}
			list, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(list, domainTable(list.Domains...))
		},
	}
}

func (a *app) workerCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "worker", Short: "List and drain workers"}
	cmd.AddCommand(a.workerList(), a.workerDrain())
	return cmd
}

func (a *app) workerList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the workers",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := a.operatorClient()
			if err != nil {
				return err
			}
			r, err := client.ListWorkersWithResponse(cmd.Context())
			if err != nil {
				return callError(err)
			}
			list, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			t := textTable{header: []string{"id", "domain", "rack", "accelerators", "state", "address"}}
			for _, w := range list.Workers {
				t.rows = append(t.rows, []string{w.ID, w.Domain, w.Rack, fmt.Sprint(w.Accelerators), w.State, w.Address.String()})
			}
			return a.show(list, t)
		},
	}
}

func (a *app) workerDrain() *cobra.Command {
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain WORKER",
		Short: "Stop placing new work on a worker",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := a.operatorClient()
			if err != nil {
				return err
			}
			r, err := client.DrainWorkerWithResponse(cmd.Context(), args[0], schema.DrainChange{Draining: !undo})
			if err != nil {
				return callError(err)
			}
			change, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(change, textTable{
				header: []string{"id", "draining"},
				rows:   [][]string{{args[0], fmt.Sprint(change.Draining)}},
			})
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "place work on the worker again")
	return cmd
}

func (a *app) teamCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "team", Short: "Show teams"}
	cmd.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List the teams and their guarantees",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := a.operatorClient()
			if err != nil {
				return err
			}
			r, err := client.ListTeamsWithResponse(cmd.Context())
			if err != nil {
				return callError(err)
			}
			list, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			t := textTable{header: []string{"team", "guarantee"}}
			for _, team := range list.Teams {
				t.rows = append(t.rows, []string{team.Name, guaranteeText(team)})
			}
			return a.show(list, t)
		},
	})
	return cmd
}

func guaranteeText(team schema.TeamStatus) string {
	blockTexts := make([]string, len(team.Guarantee))
	for i, b := range team.Guarantee {
		blockTexts[i] = fmt.Sprintf("%d of %dx%d in %s", b.Count, b.Tasks, b.Accelerators, b.Shard)
	}
	return strings.Join(blockTexts, ", ")
}

func (a *app) configGet() *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Show the configuration in force",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := a.operatorClient()
			if err != nil {
				return err
			}
			r, err := client.GetConfigWithResponse(cmd.Context())
			if err != nil {
				return callError(err)
			}
			version, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(version, configTable(version))
		},
	}
}

func configTable(versions ...schema.ConfigVersion) textTable {
	t := textTable{header: []string{"version", "by", "changed-at", "shards", "teams"}}
	for _, v := range versions {
		t.rows = append(t.rows, []string{
			fmt.Sprint(v.Version), v.By, timeText(v.ChangedAt),
			fmt.Sprint(len(v.Document.Shards)), fmt.Sprint(len(v.Document.Teams)),
		})
	}
	return t
}

func (a *app) configSet() *cobra.Command {
	var change schema.ConfigChange
	cmd := &cobra.Command{
		Use:   "set FILE",
		Short: "Replace the configuration with the document in a YAML file",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			document, err := readDocument(args[0])
			if err != nil {
				return err
			}
			change.Document = document
			client, err := a.operatorClient()
			if err != nil {
				return err
			}
			r, err := client.SetConfigWithResponse(cmd.Context(), change)
			if err != nil {
				return callError(err)
			}
			version, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(version, configTable(version))
		},
	}
	cmd.Flags().Int64Var(&change.ExpectedVersion, "expected-version", 0, "refuse the change unless the configuration is at this version; 0 for the first configuration")
	cmd.Flags().StringVar(&change.By, "by", os.Getenv("USER"), "who makes the change")
	return cmd
}

func (a *app) configHistory() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the accepted configurations, newest first",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := a.operatorClient()
			if err != nil {
				return err
			}
			r, err := client.ListConfigHistoryWithResponse(cmd.Context())
			if err != nil {
				return callError(err)
			}
			history, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(history, configTable(history.Versions...))
		},
	}
}

func (a *app) hostsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "hosts",
		Short: "List the entry hosts",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := a.operatorClient()
			if err != nil {
				return err
			}
			r, err := client.ListHostsWithResponse(cmd.Context())
			if err != nil {
				return callError(err)
			}
			list, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			t := textTable{header: []string{"id", "domain", "live", "stopping", "table", "config", "shards", "callers"}}
			for _, h := range list.Hosts {
				t.rows = append(t.rows, []string{
					h.ID, h.Domain, fmt.Sprint(h.Live), fmt.Sprint(h.Stopping), h.Table,
					fmt.Sprint(h.ConfigVersion), strings.Join(h.Shards, ","), h.CallerAddress.String(),
				})
			}
			return a.show(list, t)
		},
	}
}

// readDocument reads a configuration document from a YAML file. It decodes the
// YAML into a plain tree first, so that the JSON names of the schema apply.
func readDocument(path string) (schema.ConfigDocument, error) {
	var document schema.ConfigDocument
	data, err := os.ReadFile(path)
	if err != nil {
		return document, usageError("%v", err)
	}
	var tree any
	if err := yaml.Unmarshal(data, &tree); err != nil {
		return document, usageError("%s: %v", path, err)
	}
	if err := decodeStrict(tree, &document); err != nil {
		return document, usageError("%s: %v", path, err)
	}
	return document, nil
}
