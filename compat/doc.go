// Package compat holds the tests that fail when a form changes that processes of
// another version, stored data, operators or callers rely on: messages, records,
// settings, command lines, HTTP calls and answers, names of metrics and keys of
// log lines. Its golden files were written by the release before the code was
// laid out anew; go test ./compat -update writes them again, which only a change
// that is compatible on purpose may do.
package compat
