// Package comfreyproto holds the generated code of the protocol between the
// processes of comfreyridge. The source is comfreyridge.proto; the generated
// files are committed, so that the build needs no generator.
package comfreyproto

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative comfreyridge.proto
