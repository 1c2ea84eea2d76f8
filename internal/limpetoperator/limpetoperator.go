// Package limpetoperator is the client for a VM's operator interface. It also
// converts tables to and from their wire messages.
package limpetoperator

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpetlang"
	"limpetmount.org/internal/limpetwire"
)

// A Client calls the operator interface of one VM.
type Client struct {
	service limpetwire.OperatorServiceClient
	token   string
}

const callTimeout = 20 * time.Second

// New returns a client for the VM at address that authenticates with the
// operator key token.
func New(address, token string, config *tls.Config) *Client {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}}
	return &Client{service: limpetwire.NewOperatorServiceClient(client, "https://"+address), token: token}
}

// Run runs a batch of statements. A batch that is sent again with the same
// operation ID is not run twice.
func (c *Client) Run(ctx context.Context, statements, operation string, dryRun bool) (*limpetwire.RunResponse, error) {
	request := connect.NewRequest(&limpetwire.RunRequest{Statements: statements, Operation: operation, DryRun: dryRun})
	request.Header().Set("Authorization", "Bearer "+c.token)
	reply, err := c.service.Run(ctx, request)
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

// EncodeTable converts a table to its wire message.
func EncodeTable(t limpetlang.Table) *limpetwire.Table {
	w := &limpetwire.Table{Columns: t.Columns}
	for _, r := range t.Rows {
		row := &limpetwire.Row{}
		for _, c := range r {
			if c.Numeric {
				row.Cells = append(row.Cells, &limpetwire.Cell{Value: &limpetwire.Cell_Number{Number: c.Number}})
			} else {
				row.Cells = append(row.Cells, &limpetwire.Cell{Value: &limpetwire.Cell_Text{Text: c.Text}})
			}
		}
		w.Rows = append(w.Rows, row)
	}
	return w
}

// DecodeTable converts a wire message to a table.
func DecodeTable(w *limpetwire.Table) limpetlang.Table {
	t := limpetlang.Table{Columns: w.GetColumns()}
	for _, r := range w.GetRows() {
		row := make([]limpetlang.Cell, 0, len(r.GetCells()))
		for _, c := range r.GetCells() {
			if n, ok := c.GetValue().(*limpetwire.Cell_Number); ok {
				row = append(row, limpetlang.Number(n.Number))
			} else {
				row = append(row, limpetlang.Text(c.GetText()))
			}
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}
