#!/bin/sh
# Plays the case and writes record.txt beside this file; ends with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.."
PYTHONPATH=review exec python3 review/12/case.py
