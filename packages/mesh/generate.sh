#!/usr/bin/env bash
# Writes generated from proto/; its output is committed, so that a build needs no generator.
set -eu
cd "$(dirname "$0")"
for proto in proto/*.proto; do
	base=$(basename "$proto" .proto)
	npx pbjs -t static-module -w es6 --es6 --force-number --no-verify --no-delimited --no-service --no-beautify \
		-r "$base" -o "generated/$base.js" "$proto"
	sed -i 's#"protobufjs/minimal"#"protobufjs/minimal.js"#; s#import \* as \$protobuf#import $protobuf#' "generated/$base.js"
	npx pbts -o "generated/$base.d.ts" "generated/$base.js"
done
