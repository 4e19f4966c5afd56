package peers

import (
	"context"

	"chicorytiller.example/chicorytiller/internal/escrow"
)

// BudgetRecords are budget records that the sender has written to the store.
type BudgetRecords struct {
	Records []escrow.StoredRecord
}

// KeepRecords keeps the records that the peer wrote.
func (s *Service) KeepRecords(request BudgetRecords, _ *struct{}) error {
	s.lender.KeepRecords(request.Records)
	return nil
}

// KeepRecords tells a peer of records that this router wrote. It implements escrow.Peers.
func (c *Client) KeepRecords(ctx context.Context, address string, records []escrow.StoredRecord) error {
	if c.inBackoff(address) {
		return ErrUnreachable
	}
	return c.call(ctx, address, "KeepRecords", BudgetRecords{Records: records}, &struct{}{}, ignoreLate)
}
