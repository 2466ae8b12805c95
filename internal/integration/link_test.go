package integration_test

import (
	"net/url"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/standin/network"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// platformDC is the value used for the platform, which is in no data centre.
const platformDC topology.DataCentre = "platform"

// link carries the connections from one data centre to an address in another.
type link struct {
	*network.Link
	from, to topology.DataCentre
}

func newLink(from, to topology.DataCentre, target string) *link {
	l, err := network.NewLink(target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return &link{Link: l, from: from, to: to}
}

// linkAll puts a link between each data centre's proxies and every address outside
// the data centre.
func (d *deployment) linkAll() {
	dataCentres := map[string]topology.DataCentre{}
	for _, p := range d.proxySettings {
		dataCentres[p.PeerAddress] = p.DataCentre
	}
	for _, g := range d.doc.Groups {
		for _, t := range g.Targets {
			dataCentres[t.Address] = t.DataCentre
		}
	}
	u, err := url.Parse(d.url)
	Expect(err).NotTo(HaveOccurred())
	dataCentres[u.Host] = platformDC
	byPair := map[[2]string]*link{}
	for i := range d.proxySettings {
		p := &d.proxySettings[i]
		p.AddressMap = map[string]string{}
		for address, dc := range dataCentres {
			if dc == p.DataCentre {
				continue
			}
			key := [2]string{string(p.DataCentre), address}
			if byPair[key] == nil {
				byPair[key] = newLink(p.DataCentre, dc, address)
				d.links = append(d.links, byPair[key])
			}
			p.AddressMap[address] = byPair[key].Address()
		}
	}
}

// cutBetween cuts or restores the links between a data centre and the others that
// match, in both directions.
func (d *deployment) cutBetween(dc topology.DataCentre, other func(topology.DataCentre) bool, cut bool) {
	for _, l := range d.links {
		if (l.from == dc && other(l.to)) || (l.to == dc && other(l.from)) {
			l.SetCut(cut)
		}
	}
}

// delayLinks sets the one-way delay of all links.
func (d *deployment) delayLinks(delay time.Duration) {
	for _, l := range d.links {
		l.SetDelay(delay)
	}
}

func isPlatform(dc topology.DataCentre) bool  { return dc == platformDC }
func notPlatform(dc topology.DataCentre) bool { return dc != platformDC }
func anywhere(topology.DataCentre) bool       { return true }
