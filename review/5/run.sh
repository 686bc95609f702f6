#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption.
set -euo pipefail
cd "$(dirname "$0")/../.."
export PYTHONPATH=target/deps:.:review TROUBLE="${TROUBLE:-1}"
exec python3 review/5/case.py
