# Puts the libraries and the program under target/deps, which is on Python's path.
set -eu
deps=target/deps
if [ ! "$deps/.ready" -nt pyproject.toml ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --target "$deps" .
    python3 -m compileall -q --invalidation-mode unchecked-hash "$deps"
    touch "$deps/.ready"
fi
rm -rf "$deps/lagoonpulley"
cp -R src/lagoonpulley "$deps/lagoonpulley"
# An entry may only read its files: what is not compiled here is compiled at each start.
python3 -m compileall -q --invalidation-mode unchecked-hash "$deps/lagoonpulley"
