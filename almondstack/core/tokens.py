"""Reads secret tokens from files that are separate from the settings."""

from pathlib import Path

from almondstack.core.errors import SettingsError

__all__ = ["read_token"]


def read_token(path: str | None) -> str:
    """Return the token in a file; an empty string if ``path`` is None.

    Raises
    ------
    SettingsError
        The file cannot be read or is empty.
    """
    if path is None:
        return ""
    try:
        token = Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    if not token:
        raise SettingsError(f"token file {path} is empty")
    return token
