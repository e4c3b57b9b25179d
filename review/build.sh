#!/usr/bin/env bash
# Builds the stand-in for the platform's store, which the scripts start, from the project's own tests.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild platform/src/__tests__/stand-in-store.ts \
	--bundle --platform=node --format=esm --target=node20 \
	--log-level=warning --outfile=review/dist/stand-in-store.mjs
