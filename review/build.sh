#!/bin/sh
# The stand-ins are plain JavaScript without dependencies, so nothing has to be compiled; this only checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file" || exit 1
done
