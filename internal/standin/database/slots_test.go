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
	// Callers would wait for ever: a waiter is cancelled at the moment in
	// which the slot is handed to it. It has to pass the slot on, or the slot
	// is lost, a little more often each day.
	It("loses no slot to a waiter that gives up", func() {
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
