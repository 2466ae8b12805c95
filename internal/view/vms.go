package view

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// VMPrefix begins the keys of the VMs' rows; the VM's id follows.
const VMPrefix = "vm/"

// VMKey returns the key of a VM's row.
func VMKey(id topology.VMID) string { return VMPrefix + string(id) }

// IsVM reports whether the key is that of a VM's row.
func IsVM(key string) bool { return strings.HasPrefix(key, VMPrefix) }

// DecodeVMs decodes the VMs from their rows. It skips rows that can't be decoded and
// returns the last such error.
func DecodeVMs(rows []platform.Row) (vms []topology.VM, failure error) {
	for _, row := range rows {
		if row.Deleted || !IsVM(row.Key) {
			continue
		}
		var vm topology.VM
		if err := json.Unmarshal(row.Value, &vm); err != nil {
			failure = errors.Wrapf(err, "row %s", row.Key)
			continue
		}
		vms = append(vms, vm)
	}
	return vms, failure
}
