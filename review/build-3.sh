#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They are written in Python, with its standard library
# only, so there is nothing to compile: this checks that they can be loaded and that the build of the
# deploy file has been done.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed"; exit 2; }
python3 -m py_compile review/standin-3/standin.py || exit 2
rm -rf review/standin-3/__pycache__
[ -x target/release/cuminarch-sidecar ] || { echo "run the build of deploy/system.toml first"; exit 2; }
echo "stand-ins are ready"
