package entry

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// recordRequest records the metrics of an answered request. Only class names from the
// configuration become tags; req is nil when the unit was refused before a
// request was made of it.
func (s *callerSession) recordRequest(req *request, begun time.Time, failure *result.Error) {
	class := ""
	if req != nil {
		class = req.class.Name
	}
	s.server.o.Metrics.Request(s.options.member, class, failure, time.Since(begun))
}

// recordReadServed records the role of the target that answered a read.
func (s *callerSession) recordReadServed(req *request, d destination) {
	if req.class.Kind != config.Read {
		return
	}
	row := s.server.o.View.Group(req.group)
	s.server.o.Metrics.ReadServed(s.options.member, req.class.Name, row != nil && row.Primary == d.target)
}
