package comfreyconfig_test

import (
	"fmt"
	"os"
	"testing/fstest"

	"comfreyridge.example/comfreyridge/comfreyconfig"
)

func folder(files map[string]string) fstest.MapFS {
	f := fstest.MapFS{}
	for n, s := range files {
		f[n] = &fstest.MapFile{Data: []byte(s)}
	}
	return f
}

func ExampleRunCheck() {
	f := folder(map[string]string{
		"10-services.yaml": "services:\n  template:\n    kind: generation\n    drain-limit: -5s\n    colour: red\n",
		"20-routing.yaml":  "routing:\n  quotes:\n    service: templates\n",
	})
	fmt.Println("exit code", comfreyconfig.RunCheck(os.Stdout, f))
	// Output:
	// 10-services.yaml:4: services.template.drain-limit: -5s is out of range; write a duration from 0s to 24h0m0s, such as 30s
	// 10-services.yaml:5: services.template.colour: unknown key; use one of: capacity-tokens, deadline, drain-limit, first-token, idempotent, kind, max-body-bytes, max-tokens, preset, queue-limit, removed
	// 20-routing.yaml:3: routing.quotes.service: "templates" is not defined; use one of: template
	// 3 faults
	// exit code 1
}

func ExampleRunShow() {
	f := folder(map[string]string{
		"10-services.yaml": "services:\n  template:\n    kind: generation\n    queue-limit: 8\n",
		"90-override.yaml": "services:\n  template:\n    queue-limit: 16\n",
	})
	fmt.Println("exit code", comfreyconfig.RunShow(os.Stdout, f))
	// Output:
	// services:
	//   template:
	//     kind: generation # 10-services.yaml:3
	//     queue-limit: 16 # 90-override.yaml:3
	// exit code 0
}

func ExampleRunDiff() {
	a := folder(map[string]string{"10-services.yaml": "services:\n  template:\n    queue-limit: 8\n"})
	b := folder(map[string]string{"10-services.yaml": "services:\n  template:\n    queue-limit: 16\n  orders:\n    kind: plain\n"})
	fmt.Println("exit code", comfreyconfig.RunDiff(os.Stdout, a, b))
	// Output:
	// + services.orders.kind: plain
	// - services.template.queue-limit: 8
	// + services.template.queue-limit: 16
	// exit code 1
}

func ExampleSettings_Route() {
	f := folder(map[string]string{
		"00-data-centres.yaml": "data-centres:\n  leuven:\n  namur:\n",
		"10-services.yaml":     "services:\n  template:\n  draft:\n",
		"20-customers.yaml":    "customers:\n  atelier:\n",
		"30-routing.yaml":      "routing:\n  atelier-drafts:\n    customer: atelier\n    service: template\n    to: draft\n    data-centres: [namur, leuven]\n",
	})
	d, err := comfreyconfig.LoadFolder(f)
	if err != nil {
		panic(err)
	}
	s, faults := comfreyconfig.Check(d)
	r, ok := s.Route("atelier", "template", "/v1/completions")
	fmt.Println(len(faults), r.Service.Name, r.Rule, r.DataCentres, ok)
	r, ok = s.Route("other", "template", "/v1/completions")
	fmt.Println(r.Service.Name, r.Rule, ok)
	// Output:
	// 0 draft atelier-drafts [namur leuven] true
	// template  true
}

func ExampleRunPack() {
	f := folder(map[string]string{
		"10-services.yaml":  "services:\n  template:\n",
		"15-upstreams.yaml": "upstreams:\n  template:\n    model: m\n",
	})
	code := comfreyconfig.RunPack(os.Stdout, f, 7, func(key string, b []byte) error {
		fmt.Printf("%.13s %d bytes\n", key, len(b))
		return nil
	})
	fmt.Println("exit code", code)
	// Output:
	// blob-532d4290 22 bytes
	// blob-cdede267 36 bytes
	// manifest 227 bytes
	// revision 7 with hash cd85ff8e: 2 files and the manifest
	// exit code 0
}
