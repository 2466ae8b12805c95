package config_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// keysOf collects the keys of a record and of the records in it.
func keysOf(t reflect.Type, keys map[string]bool) {
	switch t.Kind() {
	case reflect.Slice, reflect.Pointer:
		keysOf(t.Elem(), keys)
	case reflect.Struct:
		for i := range t.NumField() {
			key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			keys[key] = true
			keysOf(t.Field(i).Type, keys)
		}
	}
}

var _ = Describe("docs/CONFIGURATION.md", func() {
	It("has every key", func() {
		text, err := os.ReadFile(filepath.Join("..", "..", "docs", "CONFIGURATION.md"))
		Expect(err).NotTo(HaveOccurred())
		keys := map[string]bool{}
		keysOf(reflect.TypeFor[config.Document](), keys)
		Expect(len(keys)).To(BeNumerically(">", 30))
		for key := range keys {
			Expect(string(text)).To(ContainSubstring("`" + key + "`"))
		}
	})
})
