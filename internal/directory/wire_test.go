package directory_test

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
)

// in returns a version of the third era.
func in(number uint64) metastore.Version { return metastore.Version{Era: 3, Number: number} }

// sameAfterEncoding fails unless a value is the same after it was sent.
func sameAfterEncoding[T any](t *testing.T, sent T) {
	t.Helper()
	raw, err := msgpack.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var received T
	if err := msgpack.Unmarshal(raw, &received); err != nil || !reflect.DeepEqual(sent, received) {
		t.Fatalf("%+v became %+v: %v", sent, received, err)
	}
}

// Guards against versions that lose their era between VMs.
func TestVersionsKeepTheirEraBetweenVMs(t *testing.T) {
	rows := []metastore.Row{{Key: "a", Value: []byte("1"), Version: in(29)}, {Key: "b", Version: in(30), Deleted: true}}
	sameAfterEncoding(t, directory.News{directory.Configurations: {
		Relevant: in(30), Seen: in(31), Since: in(28), Rows: rows, Era: 3, WatchableFrom: in(5), Kept: 23,
	}})
	sameAfterEncoding(t, directory.Snapshot{Version: in(31), Rows: rows, Era: 3})
	sameAfterEncoding(t, directory.Followed{directory.Configurations: in(31), directory.OwnRows: in(7)})
	sameAfterEncoding(t, directory.Followed{directory.Configurations: {Number: 31}})
}

// Guards against a coordinator that sends a VM nothing since it follows one feed in an earlier era.
func TestFeedsFollowedInAnEarlierEraAreLeftOut(t *testing.T) {
	raw, err := msgpack.Marshal(directory.Followed{directory.Configurations: in(31), directory.OwnRows: {Era: 2, Number: 40}})
	if err != nil {
		t.Fatal(err)
	}
	var received directory.Followed
	if err := msgpack.Unmarshal(raw, &received); err != nil || len(received) != 1 || received[directory.Configurations] != in(31) {
		t.Fatalf("%v %v", received, err)
	}
}

// Guards against renewals and promises that VMs of builds without eras can't read.
func TestVMsWithoutErasReadNewsAndFollowedVersions(t *testing.T) {
	raw, err := msgpack.Marshal(directory.Followed{directory.Configurations: in(31)})
	if err != nil {
		t.Fatal(err)
	}
	var numbers map[directory.Feed]uint64
	if err := msgpack.Unmarshal(raw, &numbers); err != nil || numbers[directory.Configurations] != 31 {
		t.Fatalf("%v %v", numbers, err)
	}
	if raw, err = msgpack.Marshal(directory.FeedNews{Relevant: in(30), Seen: in(31), Era: 3}); err != nil {
		t.Fatal(err)
	}
	var news struct {
		Relevant uint64 `msgpack:"m"`
		Seen     uint64 `msgpack:"s"`
	}
	if err := msgpack.Unmarshal(raw, &news); err != nil || news.Relevant != 30 || news.Seen != 31 {
		t.Fatalf("%+v %v", news, err)
	}
}
