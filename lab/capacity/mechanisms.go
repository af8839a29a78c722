package capacity

import (
	_ "embed"
	"fmt"
	"slices"

	"ledgespread/strict"
)

//go:embed mechanisms.toml
var mechanismsFile []byte

// Mechanisms holds the descriptions in mechanisms.toml.
type Mechanisms struct {
	Kinds   []Mechanism `toml:"kind"`
	Roles   []Mechanism `toml:"role"`
	Clauses []Mechanism `toml:"clause"`
}

// Mechanism describes what implements a kind of control traffic, a role or a clause of the requirement.
type Mechanism struct {
	Name           string   `toml:"name"`
	Title          string   `toml:"title"`
	State          string   `toml:"state"`
	Words          string   `toml:"words"` // the operators' wording
	ImplementedBy  string   `toml:"carried_by"`
	Paths          []string `toml:"paths"`   // source paths of the implementation, from the repository root
	NotImplemented bool     `toml:"nothing"` // no mechanism implements it, at any size
	Proposal       string   `toml:"would"`   // what would implement it
}

// Names of the roles and of the clauses, in the order of the page.
var (
	roleNames   = []string{"server", "busiest", "owner", "ledger", "keeper", "service", "control"}
	clauseNames = []string{"servers", "calls", "depth", "added_p99", "zones", "changes", "list", "control_core", "control_memory", "control_bytes", "control_machines", "day", "rack", "zone", "regions"}
)

// ReadMechanisms decodes the embedded mechanisms.toml.
func ReadMechanisms() (*Mechanisms, error) {
	return decodeMechanisms("lab/capacity/mechanisms.toml", mechanismsFile)
}

// decodeMechanisms decodes the descriptions and checks that every kind, role and clause is present, complete and in order.
func decodeMechanisms(file string, text []byte) (*Mechanisms, error) {
	mechanisms := &Mechanisms{}
	if err := strict.Decode(file, text, mechanisms); err != nil {
		return nil, err
	}
	for _, group := range []struct {
		table string
		all   []Mechanism
		want  []string
		needs func(Mechanism) bool
	}{
		{"kind", mechanisms.Kinds, []string{"list", "membership", "peers", "tenants"}, func(x Mechanism) bool { return x.Title != "" && x.ImplementedBy != "" }},
		{"role", mechanisms.Roles, roleNames, func(x Mechanism) bool { return x.Title != "" && x.State != "" }},
		{"clause", mechanisms.Clauses, clauseNames, func(x Mechanism) bool { return x.Words != "" && x.ImplementedBy != "" && x.Proposal != "" }},
	} {
		var names []string
		for i, mechanism := range group.all {
			names = append(names, mechanism.Name)
			if !group.needs(mechanism) {
				return nil, (&strict.FieldError{Table: group.table, TableIndex: i, Name: "name", Reason: mechanism.Name + " lacks a required text"}).WithPosition(file, text)
			}
		}
		if !slices.Equal(names, group.want) {
			return nil, fmt.Errorf("%s:1: %s: want the names %v, in this order; got %v", file, group.table, group.want, names)
		}
	}
	return mechanisms, nil
}

// mechanismNamed returns the mechanism with this name, which must be present.
func mechanismNamed(all []Mechanism, name string) Mechanism {
	i := slices.IndexFunc(all, func(mechanism Mechanism) bool { return mechanism.Name == name })
	return all[i]
}
