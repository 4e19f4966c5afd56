// Package deps keeps the declared libraries in go.mod while packages are being written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kingpin/v2"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/frankban/quicktest"
	_ "github.com/gofiber/fiber/v2"
	_ "github.com/gofiber/fiber/v2/middleware/adaptor"
	_ "github.com/google/uuid"
	_ "github.com/pkg/errors"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promauto"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/sourcegraph/conc"
	_ "github.com/sourcegraph/conc/pool"
	_ "github.com/valyala/fasthttp"
	_ "github.com/valyala/fasthttp/fasthttputil"
	_ "github.com/valyala/fastjson"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
