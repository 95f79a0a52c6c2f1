#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code in src/generated/. Run it after
# changing schema/.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --gen-object-api --scoped-enums -o src/generated schema/record.fbs schema/peer.fbs
