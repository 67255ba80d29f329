#!/bin/bash
# The stand-ins are Python (standard library only): building them is a check that they compile.
set -e
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m py_compile lib/*.py trials/*.py [0-9]/*.py
