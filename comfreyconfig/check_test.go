package comfreyconfig_test

import (
	"io/fs"
	"strings"
	"testing"

	"comfreyridge.example/comfreyridge"
	"comfreyridge.example/comfreyridge/comfreyconfig"
)

func TestExamplesAreValidAndOfTheStatedSizes(t *testing.T) {
	for _, c := range []struct {
		name                             string
		customers, dataCentres, replicas int
		service                          string
		preset                           comfreyconfig.Preset
		orders                           string
		orderReplicas                    int
	}{
		{"gravure-pierre", 10, 3, 12, "template", comfreyconfig.PresetStallTime, "workshop-orders", 3},
		{"al-jabal", 10, 4, 12, "reports", comfreyconfig.PresetPreemptions, "bookings", 4},
	} {
		s := loadExample(t, c.name)
		if n := len(s.Customers()); n != c.customers {
			t.Errorf("%s: got %d customers", c.name, n)
		}
		if n := len(s.DataCentres()); n != c.dataCentres {
			t.Errorf("%s: got %d data centres", c.name, n)
		}
		v, _ := s.Service(c.service)
		u, _ := s.Upstream(c.service)
		if v.Preset != c.preset || !v.Idempotent || u.Replicas != c.replicas {
			t.Errorf("%s: service %+v, upstream %+v", c.name, v, u)
		}
		v, _ = s.Service(c.orders)
		u, _ = s.Upstream(c.orders)
		if v.Kind != comfreyconfig.ServiceKindPlain || v.Idempotent || u.Replicas != c.orderReplicas {
			t.Errorf("%s: service %+v, upstream %+v", c.name, v, u)
		}
	}
	if c, ok := loadExample(t, "gravure-pierre").CustomerByKey("gp-sample-key-atelier-delvaux"); !ok || c.Name != "atelier-delvaux" {
		t.Errorf("CustomerByKey of the sample key returned %+v, %v", c, ok)
	}
}

func loadExample(t *testing.T, name string) comfreyconfig.Settings {
	t.Helper()
	f, err := fs.Sub(comfreyridge.Examples, "examples/"+name)
	if err != nil {
		t.Fatal(err)
	}
	d, err := comfreyconfig.LoadFolder(f)
	if err != nil {
		t.Fatal(err)
	}
	s, faults := comfreyconfig.Check(d)
	for _, f := range faults {
		t.Error(f)
	}
	return s
}

// base is a valid file; each case of TestFaults adds a file with a fault.
const base = "services:\n  template:\n    kind: generation\n  orders:\n    kind: plain\ndata-centres:\n  leuven:\n"

func TestFaults(t *testing.T) {
	h := comfreyconfig.HashKey("k")
	for _, c := range []struct{ name, text, want string }{
		{"unknown section", "service:\n  a:\n", "20-case.yaml:1: service: unknown section"},
		{"unknown key", "limits:\n  retries: 1\n", "20-case.yaml:2: limits.retries: unknown key"},
		{"bad name", "customers:\n  Big One:\n", "the name is not in kebab case"},
		{"section is a list", "customers: [a]\n", "the section is not a mapping of names"},
		{"scalar for a list", "customers:\n  a:\n    key-hashes: x\n", "the value is not a list"},
		{"list for a scalar", "customers:\n  a:\n    token-weight: [1]\n", "the value is not a plain scalar"},
		{"key twice", "limits:\n  grace: 1s\n  grace: 2s\n", "20-case.yaml:3: limits.grace: the key occurs twice"},
		{"not YAML", "limits:\n  grace: [1s\n", "not valid YAML"},
		{"two documents", "limits:\n  grace: 1s\n---\nlimits:\n  grace: 2s\n", "more than one YAML document"},
		{"alias", "limits: &a\n  grace: 1s\n", "limits: the entry is not a mapping"},
		{"negative duration", "limits:\n  grace: -1s\n", "20-case.yaml:2: limits.grace: -1s is out of range; write a duration from 0s to 1h0m0s"},
		{"no unit", "limits:\n  grace: 5\n", `"5" is not a duration`},
		{"ratio above one", "limits:\n  retry-ratio: 1.5\n", "1.5 is out of range"},
		{"ratio not a number", "limits:\n  retry-ratio: .nan\n", "the value is not a plain scalar"},
		{"enum", "services:\n  template:\n    preset: fast\n", "use one of: stall-time, preemptions"},
		{"bool", "services:\n  orders:\n    idempotent: yes\n", "write true or false"},
		{"hash", "customers:\n  a:\n    key-hashes: [abc]\n", "is not a SHA-256 hash"},
		{"hash twice", "customers:\n  a:\n    key-hashes: [" + h + ", " + h + "]\n", "listed twice"},
		{"shared hash", "customers:\n  a:\n    key-hashes: [" + h + "]\n  b:\n    key-hashes: [" + h + "]\n", "also belongs to customer a"},
		{"unknown customer", "routing:\n  r:\n    customer: nobody\n", "20-case.yaml:3: routing.r.customer: \"nobody\" is not defined"},
		{"unknown target", "routing:\n  r:\n    to: nowhere\n", "use one of: orders, template"},
		{"unknown data centre", "routing:\n  r:\n    data-centres: [gent]\n", "\"gent\" is not defined; use one of: leuven"},
		{"spill without preference", "routing:\n  r:\n    spill: false\n", "spill is false without data-centres"},
		{"path prefix", "routing:\n  r:\n    path-prefix: v1\n", "\"v1\" does not start with '/'"},
		{"plain preset", "services:\n  orders:\n    preset: stall-time\n", "not valid for a service of kind plain"},
		{"max tokens", "services:\n  template:\n    capacity-tokens: 10\n", "exceeds capacity-tokens, 10"},
		{"first token", "services:\n  template:\n    deadline: 1s\n", "exceeds the deadline, 1s"},
		{"upstream of no service", "upstreams:\n  ghost:\n    model: m\n", "unknown service \"ghost\""},
		{"no model", "upstreams:\n  template:\n    version: v\n", "the model is missing"},
		{"removed and named", "routing:\n  r:\n    service: orders\nservices:\n  orders:\n    removed: true\n", "\"orders\" is not defined"},
		{"removed false", "services:\n  orders:\n    removed: false\n", "\"false\" is set, only true is allowed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			faults := check(base, c.text)
			if !strings.Contains(faults, c.want) {
				t.Errorf("got faults:\n%swant one that contains %q", faults, c.want)
			}
		})
	}
	if f := check(base, ""); f != "" {
		t.Errorf("the valid base has faults:\n%s", f)
	}
}

func check(texts ...string) string {
	names := []string{"10-base.yaml", "20-case.yaml"}
	var files []comfreyconfig.File
	for i, x := range texts {
		files = append(files, comfreyconfig.File{Name: names[i], Content: []byte(x)})
	}
	_, faults := comfreyconfig.Check(comfreyconfig.NewFolder(files...))
	var b strings.Builder
	for _, f := range faults {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

func TestFileNameAndSizeFaults(t *testing.T) {
	f := comfreyconfig.NewFolder(
		comfreyconfig.File{Name: "10-a.yml", Content: []byte(base)},
		comfreyconfig.File{Name: "20-b.yaml", Content: make([]byte, comfreyconfig.MaxFileSizeBytes+1)},
	)
	_, faults := comfreyconfig.Check(f)
	if len(faults) != 2 || faults[0].File != "10-a.yml" || faults[1].File != "20-b.yaml" {
		t.Errorf("got faults %v, want one for each file", faults)
	}
}
