#!/bin/sh
# Prepares the stand-ins of the cases from 6 on. They are plain JavaScript without dependencies; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for module in harness-2/*.mjs [0-9]*/case.mjs; do
  node --check "$module" || exit 1
done
