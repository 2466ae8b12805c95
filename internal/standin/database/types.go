package database

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/buckthornshore/buckthornshore/internal/standin/database/sqlparse"
)

// Type OIDs of PostgreSQL.
const (
	oidInt8    = 20
	oidInt2    = 21
	oidInt4    = 23
	oidText    = 25
	oidFloat4  = 700
	oidFloat8  = 701
	oidUnknown = 705
	oidVarchar = 1043
	oidVoid    = 2278
)

const formatBinary = 1

// formatOf returns the format code of value i. An empty list means text for all
// values; a single code applies to all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func sizeOf(oid uint32) int16 {
	switch oid {
	case oidInt8, oidFloat8:
		return 8
	case oidInt4, oidFloat4, oidVoid:
		return 4
	case oidInt2:
		return 2
	}
	return -1
}

// encodeValue encodes the text of a value in the given type and format.
func encodeValue(oid uint32, format int16, v string) []byte {
	if format != formatBinary || oid != oidInt8 && oid != oidInt4 {
		return []byte(v)
	}
	n, err := strconv.ParseInt(v, 10, 64)
	invariant(err == nil, "integer column holds %q", v)
	if oid == oidInt4 {
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	}
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

// decodeValue converts a parameter to text; nil is NULL.
func decodeValue(oid uint32, format int16, raw []byte) (*string, error) {
	if raw == nil {
		return nil, nil
	}
	if format != formatBinary {
		v := string(raw)
		return &v, nil
	}
	v, err := decodeBinary(oid, raw)
	return &v, err
}

func decodeBinary(oid uint32, raw []byte) (string, error) {
	if size := sizeOf(oid); size > 0 && len(raw) != int(size) {
		return "", sqlError(CodeProtocol, "parameter of type %d has %d bytes", oid, len(raw))
	}
	switch oid {
	case oidText, oidVarchar, oidUnknown:
		return string(raw), nil
	case oidInt8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10), nil
	case oidInt4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10), nil
	case oidInt2:
		return strconv.FormatInt(int64(int16(binary.BigEndian.Uint16(raw))), 10), nil
	case oidFloat8:
		return formatFloat(math.Float64frombits(binary.BigEndian.Uint64(raw))), nil
	case oidFloat4:
		return formatFloat(float64(math.Float32frombits(binary.BigEndian.Uint32(raw)))), nil
	}
	return "", sqlError(CodeUnsupported, "binary parameters of type %d are not supported", oid)
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// paramTypes returns the types of a statement's parameters: those that the
// client specified, otherwise those that the statement implies.
func paramTypes(stmt *sqlparse.Statement, named []uint32) []uint32 {
	types := make([]uint32, max(stmt.Params, len(named)))
	for i := range types {
		types[i] = oidText
	}
	if stmt.Kind == sqlparse.Add && stmt.Value.Param > 0 {
		types[stmt.Value.Param-1] = oidInt8
	}
	if stmt.Kind == sqlparse.SelectSleep && stmt.Key.Param > 0 {
		types[stmt.Key.Param-1] = oidFloat8
	}
	for i, oid := range named {
		if oid != 0 && oid != oidUnknown {
			types[i] = oid
		}
	}
	return types
}
