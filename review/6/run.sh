#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/6/case.py
