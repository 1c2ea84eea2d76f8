package limpetcluster

import "testing"

// Guards against two listeners of a VM with the same port, which ended a test once.
func TestFreeAddressesDiffer(t *testing.T) {
	for range 3000 {
		addresses, err := freeAddresses(vmIP(200), 4)
		if err != nil {
			t.Fatal(err)
		}
		seen := map[string]bool{}
		for _, a := range addresses {
			if seen[a] {
				t.Fatalf("%v has an address twice", addresses)
			}
			seen[a] = true
		}
	}
}
