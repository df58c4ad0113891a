package comfreyarch

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alexflint/go-arg"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/goccy/go-yaml"
	_ "github.com/oklog/run"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/twitchtv/twirp"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat/distuv"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
