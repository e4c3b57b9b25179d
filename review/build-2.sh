#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain modules for
# Node.js and only need to parse; the gateways are built by the deploy file's command.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs; do
	node --check "$file"
done
