#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies: this checks that each of them parses.
cd "$(dirname "$0")" || exit 1
for file in stand-ins/*.js [1-5]/*.js; do
	node --check "$file" || exit 1
done
