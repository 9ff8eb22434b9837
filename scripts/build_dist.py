"""Builds the distribution file: a shell launcher followed by a compressed PyInstaller folder.

The first run unpacks the folder next to the file. The launcher then replaces itself with the
program, so that there is a single process without a waiting parent.
"""

import hashlib
import subprocess
import sys
import tarfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD_FOLDER = ROOT / "build"
DIST_FILE = ROOT / "dist" / "sassafrashook"
# Packages whose modules are imported by name at run time, so that a process only loads those of its
# own role. PyInstaller does not find such imports by itself.
LAZY_PACKAGES = ("daemons", "fleet", "http1", "messages")
DIGEST_LENGTH = 16

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


def list_lazy_modules():
    """Return the full names of the modules of ``LAZY_PACKAGES``."""
    return [
        f"sassafrashook.{package}.{file.stem}"
        for package in LAZY_PACKAGES
        for file in sorted((ROOT / "sassafrashook" / package).glob("_[a-z]*.py"))
    ]


def build_folder():
    """Run PyInstaller.

    :returns: path of the folder with the program and its libraries.
    """
    command = [
        *(sys.executable, "-m", "PyInstaller", "--onedir", "--noconfirm", "--log-level=ERROR"),
        *(
            "--name=sassafrashook",
            f"--distpath={BUILD_FOLDER / 'folder'}",
            f"--workpath={BUILD_FOLDER / 'work'}",
        ),
        *(f"--specpath={BUILD_FOLDER}", f"--paths={ROOT}"),
        f"--add-data={ROOT / 'sassafrashook' / 'charts'}/*.yaml:sassafrashook/charts",
        *(f"--hidden-import={module}" for module in list_lazy_modules()),
        str(ROOT / "scripts" / "entry.py"),
    ]
    subprocess.run(command, check=True, cwd=ROOT)
    return BUILD_FOLDER / "folder" / "sassafrashook"


def pack_folder(folder):
    """Pack a folder into a gzip-compressed tar archive.

    :param folder: path of the folder.
    :returns: the archive, ``bytes``.
    """
    archive_file = BUILD_FOLDER / "folder.tar.gz"
    with tarfile.open(archive_file, "w:gz", compresslevel=6) as archive:
        archive.add(folder, arcname="sassafrashook")
    return archive_file.read_bytes()


def main():
    """Build the distribution file and print its size."""
    archive = pack_folder(build_folder())
    digest = hashlib.sha256(archive).hexdigest()[:DIGEST_LENGTH]
    first_line = LAUNCHER.count("\n") + 1
    launcher = LAUNCHER.format(digest=digest, first_line=first_line)
    DIST_FILE.parent.mkdir(exist_ok=True)
    DIST_FILE.write_bytes(launcher.encode() + archive)
    DIST_FILE.chmod(0o755)
    print(f"{DIST_FILE.relative_to(ROOT)}: {DIST_FILE.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
