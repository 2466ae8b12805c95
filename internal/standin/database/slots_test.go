package database_test

import (
	"context"
	"runtime"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/standin/database"
)

var _ = Describe("Slots", func() {
	// A waiter is cancelled at the moment in which a slot is granted to it. It
	// must release the slot. Otherwise slots are lost over time until all callers
	// wait for ever.
	It("loses no slot when a waiter is cancelled", func() {
		s := database.NewSlots(1)
		for range 2000 {
			Expect(s.Acquire(ctx)).To(Succeed())
			waiting, cancel := context.WithCancel(ctx)
			var group sync.WaitGroup
			group.Go(func() {
				if s.Acquire(waiting) == nil {
					s.Release()
				}
			})
			for s.Waiting() == 0 {
				runtime.Gosched()
			}
			cancel()
			s.Release()
			group.Wait()
			Expect(s.Free()).To(Equal(1))
		}
	})
})
