"""The keeper daemon: plans and executes fleet changes."""

from almondstack.keeper.settings import KeeperSettings

__all__ = ["KeeperSettings"]
