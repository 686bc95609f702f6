"""Faults of a release note."""

import msgspec

__all__ = ["NoteFault"]


class NoteFault(msgspec.Struct, frozen=True, order=True):
    """One fault, with the path to it.

    Parameters
    ----------
    path : str
        Where it stands, such as ``added.pools[2].min_serving``.
    code : str
        Stable identifier of the kind of fault.
    message : str
        One short sentence.
    """

    path: str
    code: str
    message: str
