#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start. Their stand-ins are plain JavaScript that
# needs no build; this checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.js [0-9]/run.js 10/run.js; do
	case "$file" in [1-5]/*) continue ;; esac
	[ -f "$file" ] && node --check "$file"
done
echo "stand-ins are ready"
