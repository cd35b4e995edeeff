package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/fulmarcross/fulmarcross/internal/cli/settings"
	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/wire/document"
	"github.com/fulmarcross/fulmarcross/internal/wire/schema"
)

// checkCmd reports every fault of the files that are named.
type checkCmd struct {
	Settings   string `help:"The settings of an entry instance." type:"existingfile"`
	Plans      string `help:"A document of plans."               type:"existingfile"`
	Allowances string `help:"A document of allowances."          type:"existingfile"`
}

var (
	errNothingToCheck = errors.New("name a file to check: --settings, --plans or --allowances")
	errFaults         = errors.New("the files have faults")
)

// Run runs the command.
func (c *checkCmd) Run(s *streams) error {
	if c.Settings == "" && c.Plans == "" && c.Allowances == "" {
		return errNothingToCheck
	}

	var faults []schema.Fault

	note := func(file string, err error) error {
		var found *schema.FaultsError

		switch {
		case err == nil:
			_, _ = fmt.Fprintf(s.out, "%s: ok\n", file)
		case errors.As(err, &found):
			for _, f := range found.Faults {
				_, _ = fmt.Fprintf(s.out, "%s: %s\n", file, f)
			}

			faults = append(faults, found.Faults...)
		default:
			return err
		}

		return nil
	}

	if err := c.checkSettings(note); err != nil {
		return err
	}

	if err := c.checkLists(note); err != nil {
		return err
	}

	if len(faults) > 0 {
		return &quietError{errFaults}
	}

	return nil
}

func (c *checkCmd) checkSettings(note func(string, error) error) error {
	if c.Settings == "" {
		return nil
	}

	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}

	_, err = settings.Decode(data)

	return note(c.Settings, err)
}

// checkLists checks the lists, the allowances against the plans if both are
// named.
func (c *checkCmd) checkLists(note func(string, error) error) error {
	var known func(string) bool

	if c.Plans != "" {
		data, err := os.ReadFile(c.Plans)
		if err != nil {
			return err
		}

		_, plans, err := document.DecodePlans(data)
		if err := note(c.Plans, err); err != nil {
			return err
		}

		if err == nil {
			state := plan.Restore(0, plans, nil)
			known = func(name string) bool {
				_, ok := state.Plan(name)

				return ok
			}
		}
	}

	if c.Allowances == "" {
		return nil
	}

	data, err := os.ReadFile(c.Allowances)
	if err != nil {
		return err
	}

	_, _, err = document.DecodeAllowances(data, known)

	return note(c.Allowances, err)
}
