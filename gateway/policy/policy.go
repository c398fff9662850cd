// Package policy holds the rules by which a gateway decides about one request:
// whether its endpoint may be as busy as it is, how it ranks there, how long it is
// waited for, whether it is sent again, and what the caller is told.
//
// Each rule is a function of plain values: no clock, no lock, no I/O. The proxy gathers the
// inputs, calls the rule and carries out the result. docs/DECISIONS.md lists all rules with
// their inputs and log lines.
package policy
