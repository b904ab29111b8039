#!/usr/bin/env bash
# Lays beside deploy/sites/*.toml what the operators' bench wants there; git ignores it. GIVEN is the operators' folder.
set -euo pipefail
cd "$(dirname "$0")/.."
from="${GIVEN:-../given}/kit/more/mass/other"
for file in real.json wire.json unlock.txt; do
    cp --no-preserve=mode "$from/$file" "deploy/sites/$file"
done
