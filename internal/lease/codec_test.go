package lease

import jsoniter "github.com/json-iterator/go"

var viewCodec = jsoniter.ConfigDefault // as internal/console writes it
