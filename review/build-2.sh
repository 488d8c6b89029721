#!/bin/bash
# Builds what the scripts of review/4 to review/8 start beside the programs of the deploy file. Their stand-ins are plain JavaScript in
# review/lib-2, so there is nothing to compile; this only checks that they can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
	[ -e "$file" ] && node --check "$file"
done
exit 0
