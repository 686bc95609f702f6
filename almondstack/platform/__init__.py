"""Adapter to the users' platform: its wire, store, workers, machines and settings file."""

from almondstack.platform.program import Program, main
from almondstack.platform.settings import PlatformSettings, load_platform_settings

__all__ = ["PlatformSettings", "Program", "load_platform_settings", "main"]
