#!/usr/bin/env bash
# Puts the libraries and the members that the roles need under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/libraries.txt
mkdir -p target
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf "$deps"
  python3 -m pip install --quiet --disable-pip-version-check \
    --target "$deps" --requirement deploy/requirements.txt
  # Bytecode that does not refer to the times of the sources stays valid when
  # the tree is copied; otherwise each start would compile all libraries.
  python3 -m compileall -q -f --invalidation-mode unchecked-hash "$deps"
  cp deploy/requirements.txt "$stamp"
fi
for member in base consensus mesh web gateway jobs node; do
  rm -rf "$deps/banyanbank_$member"
  cp -R "packages/$member/src/banyanbank_$member" "$deps/"
done
rm -rf "$deps/banyanbank_platform"
cp -R platform/src/banyanbank_platform "$deps/"
python3 -m compileall -q --invalidation-mode unchecked-hash "$deps"/banyanbank_*
