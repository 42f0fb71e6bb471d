#!/bin/sh
# Puts the platform's node and its libraries under target/deps.
set -eu
stamp=target/deps/.requirements
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf target/deps
  python3 -m pip install -q --disable-pip-version-check \
    --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
# The workspace's own packages are plain Python: a copy installs them. What has
# not changed stays, since nodes of another run may be reading it.
for source in packages/cowslipfork/src/cowslipfork \
  packages/cowslipfork-direct/src/cowslipfork_direct \
  platform/src/cowslipfork_platform; do
  name=$(basename "$source")
  if ! diff -rq -x __pycache__ "$source" "target/deps/$name" > /dev/null 2>&1; then
    rm -rf "target/deps/$name"
    cp -R "$source" "target/deps/$name"
  fi
done
python3 -m compileall -q -o 2 target/deps
