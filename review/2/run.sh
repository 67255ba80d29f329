#!/bin/bash
# Exit code: 1 if more than three requests were lost, 0 if not, 2 if the case could not run. TROUBLE=0: no bursts.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec timeout --kill-after=2 118 python3 case.py
