"""The keeper daemon."""

from almondstack.keeper.settings import KeeperSettings

__all__ = ["KeeperSettings"]
