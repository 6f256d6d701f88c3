#!/usr/bin/env bash
# Installs Debian's packages that are missing; asks nothing if none is.
set -eu
cd "$(dirname "$0")"
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2> /dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done < packages.txt
[ "${#missing[@]}" -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -qq --no-install-recommends "${missing[@]}"
