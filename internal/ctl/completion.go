package ctl

import (
	"io"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// bashCompletion is a bash script that completes commands, their subcommands and
// fixed arguments.
const bashCompletion = `_bts_ctl() {
  local word="${COMP_WORDS[COMP_CWORD]}" words
  case "${COMP_WORDS[1]}" in
    preset) words="list show switch" ;;
    config) words="status" ;;
    status) words="groups targets vms sessions config" ;;
    completion) words="bash" ;;
    customers) words="--why" ;;
    targets) words="" ;;
    check|diff|trace|report|apply) COMPREPLY=($(compgen -f -- "$word")); return ;;
    *) words="check diff trace report customers targets apply history rollback preset config status explain switchover drain completion" ;;
  esac
  COMPREPLY=($(compgen -W "$words --json --settings --help" -- "$word"))
}
complete -F _bts_ctl bts-ctl
`

func (t *tool) completion(c *completionCommand) error {
	if c.Shell != "bash" {
		return result.New(result.NotFound, "completion for %q; there is bash", c.Shell)
	}
	_, err := io.WriteString(t.out.stdout, bashCompletion)
	return err
}
