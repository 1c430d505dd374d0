#!/bin/sh
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: one change, no series.
exec python3 "$(dirname "$0")/case.py"
