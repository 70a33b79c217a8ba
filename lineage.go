package laburnumring

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// SoftwareVersion is a version of the software of a service's servers. Versions have no order.
type SoftwareVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Key returns a hash of the version, never 0.
func (v SoftwareVersion) Key() uint64 { return max(1, xxhash.Sum64String(v.Service+"\n"+v.Version)) }

// StreamOrigin says which server began a stream.
type StreamOrigin struct {
	// Stream is the hash of the id of the request that brought the first event.
	Stream uint64
	// Software is the key of the server's SoftwareVersion; 0 if it is not known.
	Software uint64
	// Server is a hash of the server's id, and Born the lower bits of its start time, as its entry gave them. Both are 0
	// once the entry was read again since: the server had the version that it names.
	Server uint32
	Born   uint32
}

// NewStreamOrigin returns the origin of a stream that a server began for the request with the given id.
func NewStreamOrigin(request string, e ServerEntry) StreamOrigin {
	return StreamOrigin{
		Stream: StreamKey(request), Software: e.Software().Key(),
		Server: max(1, uint32(xxhash.Sum64String(e.ID))), Born: uint32(e.Born),
	}
}

// Verified returns the origin of a stream whose server's entry was read again after the stream began.
func (o StreamOrigin) Verified() StreamOrigin {
	o.Server, o.Born = 0, 0
	return o
}

// IsVerified reports whether the server's entry was read again after the stream began.
func (o StreamOrigin) IsVerified() bool { return o.Server == 0 && o.Born == 0 }

// StreamKey returns the hash of a request's id.
func StreamKey(request string) uint64 { return xxhash.Sum64String(request) }

// Contradicts reports whether an entry shows that the server of the origin has started again under its id. Unless the
// origin is verified, its version may then be another one than the list said when the stream began.
func (o StreamOrigin) Contradicts(e ServerEntry) bool {
	return !o.IsVerified() && max(1, uint32(xxhash.Sum64String(e.ID))) == o.Server && uint32(e.Born) != o.Born
}

// originBytes is the length of an encoded StreamOrigin: two numbers of 8 bytes and two of 4.
const originBytes = 24

// EncodeOrigins encodes origins, in the order of their fields and each number with the highest byte first; nil if there
// are none.
func EncodeOrigins(origins []StreamOrigin) []byte {
	if len(origins) == 0 {
		return nil
	}
	out := make([]byte, 0, len(origins)*originBytes)
	for _, o := range origins {
		out = binary.BigEndian.AppendUint64(out, o.Stream)
		out = binary.BigEndian.AppendUint64(out, o.Software)
		out = binary.BigEndian.AppendUint32(out, o.Server)
		out = binary.BigEndian.AppendUint32(out, o.Born)
	}
	return out
}

// DecodeOrigins decodes origins. It skips an incomplete one at the end.
func DecodeOrigins(data []byte) []StreamOrigin {
	var out []StreamOrigin
	for ; len(data) >= originBytes; data = data[originBytes:] {
		out = append(out, StreamOrigin{
			Stream: binary.BigEndian.Uint64(data), Software: binary.BigEndian.Uint64(data[8:]),
			Server: binary.BigEndian.Uint32(data[16:]), Born: binary.BigEndian.Uint32(data[20:]),
		})
	}
	return out
}

// VersionList is the platform's record of the software versions that may have begun streams which can still be resumed.
type VersionList struct {
	Versions []SoftwareVersion
	// Revision changes with each change of the record.
	Revision int64
	// Era is the era of the log in which the record was read.
	Era int64
	// Complete is set if routers have confirmed the record in this era: it lacks no version that has open streams.
	Complete bool
}

// LineageLog keeps on the platform which software versions may begin streams, and which server began which stream.
type LineageLog interface {
	// Versions reads the recorded versions.
	Versions(ctx context.Context) (VersionList, error)
	// AddVersions records versions. After an error they may be recorded, also later.
	AddVersions(ctx context.Context, versions []SoftwareVersion) error
	// RemoveVersion removes a version unless the record has changed since it was read.
	RemoveVersion(ctx context.Context, v SoftwareVersion, read VersionList) error
	// ConfirmVersions records that the record of versions is complete in an era.
	ConfirmVersions(ctx context.Context, era int64) error
	// AppendOrigins records the origins of streams. After an error they may be recorded, also later.
	AppendOrigins(ctx context.Context, origins []StreamOrigin) error
	// Origins reads the origins recorded since the last call.
	Origins(ctx context.Context) ([]StreamOrigin, error)
}
