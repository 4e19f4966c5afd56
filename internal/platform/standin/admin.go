package standin

import (
	"time"

	"github.com/gofiber/fiber/v2"
)

// VMListLag is the JSON form of the VM list's lag.
type VMListLag struct {
	Lag time.Duration `json:"lag_ns"`
}

// putFaults changes the faults of the key-value service. Fields left out keep
// their values, so that an outage can be set without losing the rate limits.
func (s *Server) putFaults(c *fiber.Ctx) error {
	faults := s.store.Faults()
	if err := readBody(c, &faults); err != nil {
		return err
	}
	s.store.SetFaults(faults)
	return c.JSON(faults)
}

func (s *Server) getFaults(c *fiber.Ctx) error {
	return c.JSON(s.store.Faults())
}

func (s *Server) getCounts(c *fiber.Ctx) error {
	return c.JSON(s.store.Counts())
}

func (s *Server) putVMListLag(c *fiber.Ctx) error {
	var lag VMListLag
	if err := readBody(c, &lag); err != nil {
		return err
	}
	s.vms.setLag(lag.Lag)
	return c.JSON(lag)
}
