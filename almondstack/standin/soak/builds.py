"""A build of another commit, whose processes run beside those of the present one."""

import io
import subprocess
import tarfile
from pathlib import Path

from almondstack.core import AlmondError

__all__ = ["BuildError", "extract_build"]


class BuildError(AlmondError):
    """A commit is not in the repository's history, or has no platform program."""

    code = "build"


def extract_build(commit: str, folder: Path) -> Path:
    """Write the package of a commit into a folder, and return it.

    Explanation
    -----------
    Its processes use the libraries of the present environment, not those that the commit
    names.

    Parameters
    ----------
    commit : str
        A commit of the repository in the present folder.
    folder : pathlib.Path
        A new folder for the build.

    Raises
    ------
    BuildError
        The commit can't be read, or it has no platform program.
    """
    command = ["git", "archive", "--format=tar", commit, "almondstack"]
    archive = subprocess.run(command, capture_output=True, check=False)
    if archive.returncode:
        raise BuildError(archive.stderr.decode(errors="replace").strip())
    folder.mkdir(parents=True)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as content:
        content.extractall(folder, filter="data")
    if not (folder / "almondstack" / "platform").is_dir():
        raise BuildError(f"{commit} has no platform program")
    return folder
