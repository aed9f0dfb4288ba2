#!/usr/bin/env bash
# Exits with 1 if ORDER was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the leaving and the kill.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 review/3/play.py
