"""Loader of the binary: unpacks it once and runs it in the same process.

``script/build`` puts this file at the head of the archive, before all
packages; it may only import the standard library.

Python cannot load extension modules from an archive, so the archive has to be
unpacked. PEX does that as well, but its loader runs ``uname``, ``ldd`` and a
second interpreter at each start, and a process of this system must not start
other processes.
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
PYTHON_VERSION = (3, 11)
EXIT_FAILED = 1


def run() -> None:
    """Unpack the archive that contains this file and run its program."""
    if sys.version_info[:2] != PYTHON_VERSION:
        sys.exit("citronport: Python {}.{} is needed".format(*PYTHON_VERSION))
    archive = pathlib.Path(sys.argv[0]).resolve()
    try:
        packages = unpack(archive, choose_folder())
    except OSError as error:
        print(f"citronport: cannot unpack: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    sys.path.insert(0, str(packages))
    runpy.run_module("citronport", run_name="__main__", alter_sys=True)


def choose_folder() -> pathlib.Path:
    """Return the folder to unpack into, which only this user can write to.

    Raises:
        OSError: it cannot be created, or other users can write to it.
    """
    named = os.environ.get(FOLDER_VARIABLE)
    default = f"{tempfile.gettempdir()}/citronport-{os.getuid()}"
    folder = pathlib.Path(named or default)
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    # All users can write to the folder for temporary files: another user could
    # have put code there, which this process would run.
    found = folder.lstat()
    others = found.st_mode & (stat.S_IWGRP | stat.S_IWOTH)
    if found.st_uid != os.getuid() or others:
        raise PermissionError(f"{folder} is writable by other users")
    return folder


def unpack(archive: pathlib.Path, folder: pathlib.Path) -> pathlib.Path:
    """Unpack an archive unless it has been unpacked before.

    Args:
        archive: the binary.
        folder: parent of the folder for this build.

    Returns:
        The folder with the packages.
    """
    with zipfile.ZipFile(archive) as file:
        target = folder / file.read(BUILD_FILE).decode()
        if target.exists():
            return target / PACKAGES
        # Several processes may start at once, and any of them may be killed
        # in between. Each unpacks into a folder of its own, and the rename
        # makes the folder visible only when it is complete.
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
