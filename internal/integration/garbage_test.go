package integration_test

import (
	"io"
	"math/rand/v2"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// garbageConnections is the number of connections per kind of garbage.
const garbageConnections = 60

// Some connections never become sessions: a load balancer's probe that closes at
// once, half a start-up message, a huge length, random bytes. They must not affect
// other sessions; if one of them crashed the daemon, all sessions would end.
var _ = Describe("Connections that bring garbage", func() {
	It("do not disturb a session beside them", func() {
		d := deploy(deployOptions{groups: 1, proxies: 1, editConfig: addClasses})
		bystander := d.mustConnect(0, classNote)
		random := rand.New(rand.NewPCG(1, 2))
		noise := make([]byte, 64)
		for i := range noise {
			noise[i] = byte(random.IntN(256))
		}
		kinds := map[string][]byte{
			"nothing":               {},
			"half a length":         {0, 0},
			"half a start-up":       {0, 0, 0, 40, 0, 3, 0, 0, 'u'},
			"a huge length":         {0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0},
			"a length below itself": {0, 0, 0, 1, 0, 3, 0, 0},
			"random bytes":          noise,
		}
		for kind, bytes := range kinds {
			for range garbageConnections {
				c, err := net.DialTimeout("tcp", d.callers[0], 5*time.Second)
				Expect(err).NotTo(HaveOccurred(), kind)
				_, _ = c.Write(bytes)
				_ = c.(*net.TCPConn).CloseWrite()
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}
			Expect(put(bystander, "garbage", kind)).To(Succeed(), kind)
		}
		Expect(put(d.mustConnect(0, classNote), "garbage", "after")).To(Succeed())
	})
})
