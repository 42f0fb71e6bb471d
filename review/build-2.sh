#!/bin/sh
# Puts the stand-ins that the scripts of review/6 and later start under
# target/review-2: the project's own, and those of this review. Needs no
# network; run it from the repository's root after deploy/build.sh.
set -eu
out=target/review-2
rm -rf "$out"
mkdir -p "$out/direct_fakes"
cp -R platform/tests/fakes/stand_in "$out/stand_in"
cp packages/cowslipfork-direct/tests/fakes/direct_fakes/__init__.py \
  packages/cowslipfork-direct/tests/fakes/direct_fakes/servers.py \
  "$out/direct_fakes/"
cp -R review/stand_in_2 "$out/stand_in_2"
find "$out" -name __pycache__ -type d -prune -exec rm -rf {} +
PYTHONPATH="target/deps:$out" python3 -m compileall -q "$out"
