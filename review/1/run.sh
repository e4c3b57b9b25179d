#!/usr/bin/env bash
# A server spoils one byte in the head of some of its answers, while other callers' requests run.
exec node "$(dirname "$0")/case.mjs"
