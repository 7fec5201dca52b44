package config_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/config"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/memstore"
)

var ctx = context.Background()

// haveCode matches an error with the given code.
func haveCode(code errs.Code) gomega.OmegaMatcher {
	return gomega.WithTransform(func(err error) errs.Code { return errs.As(err).Code }, gomega.Equal(code))
}

// document returns a valid document with n adapters.
func document(n int) *config.Document {
	d := &config.Document{
		BaseModels:    []string{"base-7b"},
		LoadRate:      2,
		Organisations: []config.Organisation{{Name: "baltzips", CredentialSHA256: strings.Repeat("ab", 32), Share: 1}},
		Kinds: []config.Kind{{
			Organisation: "baltzips", Name: "booking", Application: "bookings",
			AtMostOnce: true, Worth: 5, Deadline: config.Duration(2 * time.Second),
		}},
	}
	for i := range n {
		d.Adapters = append(d.Adapters, config.Adapter{
			Organisation: "baltzips", Name: fmt.Sprintf("shop-%06d", i), BaseModel: "base-7b", Versions: []string{"v1"},
		})
	}
	return d
}

// Guards against a value that changes when a document is encoded and decoded.
func TestEncodingsRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	d := document(3).Normalised()
	for _, encode := range []func() ([]byte, error){d.EncodeYAML, d.EncodeJSON} {
		data, err := encode()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		decoded, err := config.Decode(data)
		g.Expect(err).NotTo(gomega.HaveOccurred(), string(data))
		g.Expect(decoded).To(gomega.Equal(d))
		g.Expect(decoded.Validate()).To(gomega.Succeed())
	}
}

// Guards against input that is accepted although a part of it has no effect.
func TestDecodeRejectsInvalidInput(t *testing.T) {
	g := gomega.NewWithT(t)
	for text, want := range map[string]string{
		"load_rate: 2\nload_rat: 3\n":                   "line 2",
		"load_rate: 2\nload_rate: 3\n":                  "line 2",
		"load_rate: fast\n":                             "line 1",
		"kinds:\n  - name: a\n    deadline: 5\n":        "unit",
		"kinds:\n  - name: a\n    worht: 5\n":           "line 3",
		`{"load_rate": 2, "load_rat": 3}`:               "load_rat",
		`{"load_rate": 2} {}`:                           "follows",
		`{"retention": "24"}`:                           "unit",
		"load_rate: 2\n---\nload_rate: 3\n":             "more than one",
		"":                                              "empty",
		"base_models: &a [x]\nload_rate: 1":             "line 1",
		"adapters: &a\n  - *a":                          "anchors",
		"load_rate: !!int 1":                            "tags",
		"<<: {load_rate: 1}":                            "merge",
		"adapters:\n  - organisation: a\n    name: [b]": "line 3",
	} {
		_, err := config.Decode([]byte(text))
		g.Expect(err).To(haveCode(errs.InvalidConfig), text)
		message := err.Error() + strings.Join(errs.As(err).Details, " ")
		g.Expect(message).To(gomega.ContainSubstring(want), text)
	}
}

// Guards against validation that stops at the first error or omits its path.
func TestValidateReportsEveryErrorWithItsPath(t *testing.T) {
	g := gomega.NewWithT(t)
	d := document(2)
	d.LoadRate, d.JournalShards, d.Retention, d.GroupsPerPool = 0, -1, 1, 5000
	d.BaseModels = append(d.BaseModels, "base-7b")
	d.Organisations = append(d.Organisations,
		config.Organisation{Name: "jegue", CredentialSHA256: strings.Repeat("ab", 32), Share: -1},
		config.Organisation{Name: "a/b", CredentialSHA256: "zz", Share: 1})
	d.Adapters[0].Versions = nil
	d.Adapters[1] = config.Adapter{Organisation: "other", Name: "x", BaseModel: "none", Versions: []string{"v1", "v1", "a@b"}}
	d.Kinds = append(d.Kinds, d.Kinds[0], config.Kind{Organisation: "baltzips", Name: "late"})
	err := d.Normalised().Validate()
	g.Expect(err).To(haveCode(errs.InvalidConfig))
	var paths []string
	for _, detail := range errs.As(err).Details {
		path, _, _ := strings.Cut(detail, ": ")
		paths = append(paths, path)
	}
	g.Expect(paths).To(gomega.ConsistOf(
		"load_rate", "journal_shards", "groups_per_pool", "retention", "base_models[1]",
		"organisations[a/b].name", "organisations[a/b].credential_sha256",
		"organisations[jegue].share", "organisations[jegue].credential_sha256",
		"adapters[baltzips/shop-000000].versions",
		"adapters[other/x].organisation", "adapters[other/x].base_model",
		"adapters[other/x].versions[1]", "adapters[other/x].versions[2]",
		"kinds[baltzips/booking]", "kinds[baltzips/late].worth", "kinds[baltzips/late].deadline",
	))
}

// Guards against a difference that is missing from a diff or has the wrong
// path.
func TestDiffListsEveryDifference(t *testing.T) {
	g := gomega.NewWithT(t)
	old, updated := document(2).Normalised(), document(3).Normalised()
	updated.LoadRate = 4
	updated.Adapters = updated.Adapters[1:]
	updated.Adapters[0].Versions = []string{"v1", "v2"}
	var lines []string
	for _, difference := range config.Diff(old, updated) {
		lines = append(lines, difference.String())
	}
	g.Expect(lines).To(gomega.Equal([]string{
		"load_rate: 2 -> 4",
		"adapters[baltzips/shop-000000]: {organisation=baltzips name=shop-000000 base_model=base-7b versions=[v1]} -> absent",
		"adapters[baltzips/shop-000001].versions: [v1] -> [v1 v2]",
		"adapters[baltzips/shop-000002]: absent -> {organisation=baltzips name=shop-000002 base_model=base-7b versions=[v1]}",
	}))
}

// Guards against a configuration of the size expected in two years that exceeds
// the size limit of the store, and against a small change that rewrites the
// whole configuration.
func TestLargeDocumentIsPublishedInSmallParts(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	d := document(50_000)
	_, err := config.Publish(ctx, s, d, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	before := s.Counts()
	g.Expect(before.Writes()).To(gomega.BeNumerically(">", 20))
	d.Adapters[25_000].Versions = append(d.Adapters[25_000].Versions, "v2")
	result, err := config.Publish(ctx, s, d, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result.Differences).To(gomega.HaveLen(1))
	g.Expect(s.Counts().Writes() - before.Writes()).To(gomega.BeEquivalentTo(2))
	snapshot, err := config.Load(ctx, s, result.Revision)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(config.Diff(snapshot.Document, d.Normalised())).To(gomega.BeEmpty())
}

// Guards against overwriting a change that the operator has not seen.
func TestStaleBaseGetsConflictWithDifferences(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	publish := func(rate float64, base uint64) error {
		d := document(1)
		d.LoadRate = rate
		_, err := config.Publish(ctx, s, d, base)
		return err
	}
	g.Expect(publish(1, 0)).To(gomega.Succeed())
	// After this write, a stale read at a revision newer than the first root can
	// still return the first root instead of the second one.
	_, err := s.Put(ctx, "vms/a", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(publish(2, 1)).To(gomega.Succeed())
	err = publish(3, 1)
	g.Expect(err).To(haveCode(errs.Conflict))
	g.Expect(errs.As(err).Details).To(gomega.ConsistOf("load_rate: 2 -> 3"))

	// Repeat with a stale read that does not yet return the other operator's
	// change.
	s.Inject(memstore.Rule{Fault: memstore.StaleRead, Op: memstore.OpList, Lag: 1, Count: 2})
	err = publish(3, 1)
	g.Expect(err).To(haveCode(errs.Conflict))
	g.Expect(errs.As(err).Details).To(gomega.ConsistOf("load_rate: 2 -> 3"))
	g.Expect(publish(3, 7)).To(haveCode(errs.StoreStale))
}

// Guards against a change of the number of shards, after which a repeated call
// would not find the journal entry of its first execution.
func TestJournalShardsCannotChange(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	d := document(1)
	_, err := config.Publish(ctx, s, d, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d.JournalShards = 16
	_, err = config.Publish(ctx, s, d, 1)
	g.Expect(err).To(haveCode(errs.InvalidConfig))
}

// interferingStore is a store that calls beforeRootUpdate once before an update
// of the root, and beforeDelete once before a delete.
type interferingStore struct {
	objectstore.Store
	beforeRootUpdate func()
	beforeDelete     func()
}

func (s *interferingStore) Delete(ctx context.Context, key string, version int64) error {
	if hook := s.beforeDelete; hook != nil {
		s.beforeDelete = nil
		hook()
	}
	return s.Store.Delete(ctx, key, version)
}

func (s *interferingStore) Update(ctx context.Context, key string, value []byte, version int64) (objectstore.Object, error) {
	if hook := s.beforeRootUpdate; hook != nil && key == config.RootKey {
		s.beforeRootUpdate = nil
		hook()
	}
	return s.Store.Update(ctx, key, value, version)
}

// Guards against pruning a part that another operator starts to use at the same
// time, and against retired parts that are never deleted.
func TestPruningKeepsPartsInUse(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	publish := func(store objectstore.Store, n int, base uint64) error {
		_, err := config.Publish(ctx, store, document(n), base)
		return err
	}
	base := uint64(0)
	for ; base < 30; base++ {
		g.Expect(publish(s, 1+int(base), base)).To(gomega.Succeed())
	}
	page, err := s.List(ctx, "config/parts/", "", 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(page.Objects)).To(gomega.BeNumerically("<", 25))

	// The slow operator is about to prune the oldest retired part. In the first
	// case, another operator publishes a configuration that uses this part
	// before the slow operator writes its root; in the second case, after that
	// write and before the delete.
	oldest := int(base) - 16
	slow := &interferingStore{Store: s}
	slow.beforeRootUpdate = func() { g.Expect(publish(s, oldest, base)).To(gomega.Succeed()) }
	g.Expect(publish(slow, 100, base)).To(haveCode(errs.Conflict))
	_, err = config.Load(ctx, s, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	base, oldest = base+1, oldest+1
	slow.beforeDelete = func() { g.Expect(publish(s, oldest, base+1)).To(gomega.Succeed()) }
	g.Expect(publish(slow, 100, base)).To(gomega.Succeed())
	g.Expect(slow.beforeDelete).To(gomega.BeNil(), "a part was pruned")
	_, err = config.Load(ctx, s, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against names that YAML decodes as numbers, booleans or dates.
func TestYAMLRoundTripsNamesThatLookLikeOtherTypes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := document(1)
		name := rapid.OneOf(
			rapid.StringMatching(`[a-zA-Z0-9][a-zA-Z0-9._-]{0,8}`),
			rapid.SampledFrom([]string{"1", "1.0", "0x1f", "0o7", "1e3", "true", "No", "null", "Null", "2026-12-04", ".inf", "1_0", "0b1", "y"}),
		).Filter(func(s string) bool { return s[0] != '.' })
		d.BaseModels[0] = name.Draw(t, "model")
		d.Adapters[0].BaseModel = d.BaseModels[0]
		d.Adapters[0].Versions = []string{name.Draw(t, "version")}
		d = d.Normalised()
		data, err := d.EncodeYAML()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := config.Decode(data)
		if err != nil || len(config.Diff(d, decoded)) > 0 {
			t.Fatalf("%v\n%s", err, data)
		}
	})
}
