#!/bin/sh
# Builds what the scripts of this review start besides the nodes: the
# stand-ins, which are plain Python and need nothing but its library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/deployment \
    review/6 review/7 review/8 review/9 review/10
