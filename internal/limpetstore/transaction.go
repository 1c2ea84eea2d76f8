package limpetstore

// MaxEntries is the largest number of checks, writes and removals in one
// transaction.
const MaxEntries = 32

// A Check is a condition of a transaction. Revision is the one that the key
// must have, 0 for a key that must not exist.
type Check struct {
	Key      string
	Revision uint64
}

// A Write is one value that a transaction stores. Lease ties the key to a
// lease; 0 for none.
type Write struct {
	Key   string
	Data  []byte
	Lease uint64
}

// A Transaction is carried out as a whole when all its checks hold, and has
// no effect otherwise.
type Transaction struct {
	Checks  []Check
	Writes  []Write
	Removes []string
}

// A Listing holds values, or changes in the order of their revisions, and
// the revision that they lead up to.
type Listing struct {
	Values   []Value
	Revision uint64
}
