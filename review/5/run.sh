#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. What happens is in record.txt.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 \
    exec python3 review/5/case.py
