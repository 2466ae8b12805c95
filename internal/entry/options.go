package entry

import (
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// optionPrefix begins the names of the session options, in start-up parameters
// and in SET statements.
const optionPrefix = "buckthornshore."

// options are what a caller declares of its session and of the next requests.
type options struct {
	member    string
	service   string
	class     string
	shardKey  string
	group     string
	session   string
	token     string
	requestID string
}

// set changes one option by its name without the prefix.
func (o *options) set(name, value string) *result.Error {
	field := o.field(name)
	if field == nil {
		return result.New(result.BadOption, "no option %q", optionPrefix+name)
	}
	if len(value) > maxOptionValue {
		return result.New(result.BadOption, "%s is longer than %d bytes", optionPrefix+name, maxOptionValue)
	}
	*field = value
	return nil
}

// maxOptionValue in bytes; a token of 64 groups fits.
const maxOptionValue = 8192

func (o *options) field(name string) *string {
	switch name {
	case "member":
		return &o.member
	case "service":
		return &o.service
	case "class":
		return &o.class
	case "shard_key":
		return &o.shardKey
	case "group":
		return &o.group
	case "session":
		return &o.session
	case "token":
		return &o.token
	case "request_id":
		return &o.requestID
	}
	return nil
}
