#!/bin/bash
# Exit code: 1 if two reports of a window differ, 0 if none do, 2 if the case could not run. TROUBLE=0: the store stays.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec timeout --kill-after=2 118 python3 case.py
