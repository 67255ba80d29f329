#!/bin/bash
# Exit code: 1 if a client got a success whose body is not whole, or stray bytes; 0 if none did; 2 if the case could not run. TROUBLE=0: no spoiled answers.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec timeout --kill-after=2 118 python3 case.py
