#!/usr/bin/env bash
# Builds the bundles that the deploy file starts, unless they are newer than all sources. The stand-ins need no build.
cd "$(dirname "$0")/.." || exit 2
if [ -f target/entry.mjs ] && [ -f target/control.mjs ] &&
	[ -z "$(find src platform package.json -newer target/control.mjs -print -quit)" ]; then
	exit 0
fi
npm run --silent build:deploy
