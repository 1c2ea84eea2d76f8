package limpetlang_test

import (
	"fmt"

	"limpetmount.org/internal/limpetlang"
)

func ExampleParse() {
	batch, _ := limpetlang.Parse(`set account desk weight=5 if weight=3; drain server e7`)
	changes, _ := batch.Changes()
	for _, c := range changes {
		fmt.Println(c.Place, c.Verb, c.Entity, c.Name, c.Settings, c.If)
	}
	// Output:
	// 1:1 set account desk [{weight 5}] [{weight 3}]
	// 1:40 create drain e7 [] []
}

func ExampleShow_Evaluate() {
	batch, _ := limpetlang.Parse(`show servers group by zone sum running sort by zone`)
	servers := limpetlang.Table{Columns: []string{"server", "zone", "running"}, Rows: [][]limpetlang.Cell{
		{limpetlang.Text("e1"), limpetlang.Text("a"), limpetlang.Number(5)},
		{limpetlang.Text("e2"), limpetlang.Text("a"), limpetlang.Number(2)},
	}}
	out, _ := batch.Statements[0].Show.Evaluate(servers)
	fmt.Println(out.Columns, out.Rows[0][0], out.Rows[0][1], out.Rows[0][2])
	// Output: [zone count sum_running] a 2 7
}
