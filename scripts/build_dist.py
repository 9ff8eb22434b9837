"""Builds the shipped file: a packed PyInstaller folder headed by a launcher.

The first run unpacks the folder beside the file; the launcher then replaces itself by the
program, so that one process with one process id runs and no parent waits.
"""

import hashlib
import subprocess
import sys
import tarfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
TARGET = ROOT / "dist" / "sassafrashook"
# Loaded by name, so that a process gets the libraries of its own role only.
LAZY_MODULES = ["sassafrashook.daemons._controller", "sassafrashook.daemons._router"]
DIGEST_CHARACTERS = 16

LAUNCHER = """\
#!/bin/sh
set -eu
file=$(readlink -f "$0")
folder="$file.d/{digest}"
if [ ! -x "$folder/sassafrashook" ]; then
    mkdir -p "$file.d"
    staging=$(mktemp -d "$file.d/unpack.XXXXXX")
    tail -n +{first_line} "$file" | tar -xz -C "$staging"
    mv -T "$staging/sassafrashook" "$folder" 2>/dev/null || true
    rm -rf "$staging"
fi
exec "$folder/sassafrashook" "$@"
"""


def build_folder():
    """Run PyInstaller.

    :returns: path of the folder that it made.
    """
    command = [
        *(sys.executable, "-m", "PyInstaller", "--onedir", "--noconfirm", "--log-level=ERROR"),
        *("--name=sassafrashook", f"--distpath={BUILD / 'folder'}", f"--workpath={BUILD / 'work'}"),
        *(f"--specpath={BUILD}", f"--paths={ROOT}"),
        f"--add-data={ROOT / 'sassafrashook' / 'charts'}/*.yaml:sassafrashook/charts",
        *(f"--hidden-import={module}" for module in LAZY_MODULES),
        str(ROOT / "scripts" / "entry.py"),
    ]
    subprocess.run(command, check=True, cwd=ROOT)
    return BUILD / "folder" / "sassafrashook"


def pack_folder(folder):
    """Pack a folder.

    :returns: the compressed archive, ``bytes``.
    """
    archive = BUILD / "folder.tar.gz"
    with tarfile.open(archive, "w:gz", compresslevel=6) as file:
        file.add(folder, arcname="sassafrashook")
    return archive.read_bytes()


def main():
    """Build the file and print its size."""
    packed = pack_folder(build_folder())
    digest = hashlib.sha256(packed).hexdigest()[:DIGEST_CHARACTERS]
    first_line = LAUNCHER.count("\n") + 1
    launcher = LAUNCHER.format(digest=digest, first_line=first_line)
    TARGET.parent.mkdir(exist_ok=True)
    TARGET.write_bytes(launcher.encode() + packed)
    TARGET.chmod(0o755)
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
