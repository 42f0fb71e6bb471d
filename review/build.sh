#!/bin/sh
# Checks that the stand-ins can be run: they are plain Python of the standard
# library, so there is nothing to compile or to install.
set -eu
cd "$(dirname "$0")"
for file in stand_in/*.py [1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import asyncio, sys; sys.exit(not hasattr(asyncio, "timeout"))'
