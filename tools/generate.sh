#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code after a change of schema/.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --gen-object-api --scoped-enums -o src/generated schema/record.fbs schema/peer.fbs
