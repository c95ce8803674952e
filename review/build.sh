#!/usr/bin/env bash
# Builds the stand-ins of the review cases; they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
exec cargo build --release --offline
