#!/usr/bin/env bash
# Nothing is compiled: checks that the stand-ins, the project's own too, load with the libraries
# that the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.:review
exec python3 -c "import standins.checks, standins.link, standins.machines, standins.rig, standins.worker"
