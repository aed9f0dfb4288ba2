"""Start of the one binary: unpacks it once, then runs it in this process.

``script/build`` puts this file at the head of the archive, before all
packages; it may import nothing but the standard library.

Python cannot load extension modules from an archive, so that it has to be
unpacked. A PEX does that too, but its loader asks ``uname`` and ``ldd`` and
runs a second interpreter at each start, while a process of this system
starts no other.
"""

import os
import pathlib
import runpy
import shutil
import stat
import sys
import tempfile
import zipfile

FOLDER_VARIABLE = "CITRONPORT_UNPACK"
PACKAGES = "packages/"
BUILD_FILE = "build"
PYTHON = (3, 11)
EXIT_FAILED = 1


def run() -> None:
    """Unpack the archive that this file lies in and run its program."""
    if sys.version_info[:2] != PYTHON:
        sys.exit("citronport: Python {}.{} is needed".format(*PYTHON))
    archive = pathlib.Path(sys.argv[0]).resolve()
    try:
        packages = unpack(archive, choose_folder())
    except OSError as error:
        print(f"citronport: cannot unpack: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    sys.path.insert(0, str(packages))
    runpy.run_module("citronport", run_name="__main__", alter_sys=True)


def choose_folder() -> pathlib.Path:
    """Return the folder to unpack into; it belongs to this user alone.

    Raises:
        OSError: it can not be made, or somebody else can write to it.
    """
    named = os.environ.get(FOLDER_VARIABLE)
    default = f"{tempfile.gettempdir()}/citronport-{os.getuid()}"
    folder = pathlib.Path(named or default)
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    # The place for temporary files is open to all: another user could
    # have put code of his own there, which this process would run.
    found = folder.lstat()
    others = found.st_mode & (stat.S_IWGRP | stat.S_IWOTH)
    if found.st_uid != os.getuid() or others:
        raise PermissionError(f"{folder} is open to other users")
    return folder


def unpack(archive: pathlib.Path, folder: pathlib.Path) -> pathlib.Path:
    """Unpack an archive unless that was done before.

    Args:
        archive: the binary.
        folder: where its build gets a folder of its own.

    Returns:
        The folder of its packages.
    """
    with zipfile.ZipFile(archive) as file:
        target = folder / file.read(BUILD_FILE).decode()
        if target.exists():
            return target / PACKAGES
        # Several processes may start at once, and one may be killed on
        # the way: each unpacks for itself, and the rename lets only a
        # whole folder appear under the final name.
        part = pathlib.Path(tempfile.mkdtemp(dir=folder))
        file.extractall(part)
    try:
        part.rename(target)
    except OSError:
        shutil.rmtree(part, ignore_errors=True)
        if not target.exists():
            raise
    return target / PACKAGES


if __name__ == "__main__":
    run()
