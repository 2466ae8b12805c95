package entry

import (
	"unicode/utf8"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// optionPrefix is the prefix of the session options' names in start-up parameters
// and SET statements.
const optionPrefix = "buckthornshore."

// options are the values that a caller sets for its session and its next requests.
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

// set changes the option of the name, which is given without the prefix.
func (o *options) set(name, value string) *result.Error {
	field := o.field(name)
	if field == nil {
		return result.New(result.BadOption, "no option %q", optionPrefix+name)
	}
	if len(value) > maxOptionValue {
		return result.New(result.BadOption, "%s is longer than %d bytes", optionPrefix+name, maxOptionValue)
	}
	if !utf8.ValidString(value) {
		return result.New(result.BadOption, "%s is not valid UTF-8", optionPrefix+name) // It can't be sent to another VM.
	}
	*field = value
	return nil
}

// maxOptionValue is the greatest length of an option's value in bytes. A token of 64
// groups fits.
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
