package limpetstore

// MaxTransactionEntries is the maximum total number of checks, writes and
// deletions in one transaction.
const MaxTransactionEntries = 32

// A Check is a precondition of a transaction: the revision that a key must
// have, or 0 if it must not exist.
type Check struct {
	Key      string
	Revision uint64
}

// A Write sets one key in a transaction. Lease attaches the key to a lease, if
// it is not 0.
type Write struct {
	Key   string
	Data  []byte
	Lease uint64
}

// A Transaction is executed atomically if all its checks hold, and has no
// effect otherwise. Deletes lists the keys to delete.
type Transaction struct {
	Checks  []Check
	Writes  []Write
	Deletes []string
}

// A Listing holds values, or changes in the order of their revisions, and the
// revision up to which it is complete.
type Listing struct {
	Values   []Value
	Revision uint64
}
