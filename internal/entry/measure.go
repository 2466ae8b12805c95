package entry

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// measure records an answered request. Only names that the configuration holds
// become tags; req is nil when the request named none.
func (s *caller) measure(req *request, begun time.Time, failure *result.Error) {
	class := ""
	if req != nil {
		class = req.class.Name
	}
	s.server.o.Metrics.Request(s.options.member, class, failure, time.Since(begun))
}

// measureServed records the role of the target that answered a read.
func (s *caller) measureServed(req *request, d destination) {
	if req.class.Kind != config.Read {
		return
	}
	row := s.server.o.View.Group(req.group)
	s.server.o.Metrics.ReadServed(s.options.member, req.class.Name, row != nil && row.Primary == d.target)
}
