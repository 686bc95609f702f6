"""Entry point of ``almondctl`` with the commands on the platform's own documents."""

import sys

from almondstack.ctl.main import main
from almondstack.platform import config_command as _config_command

__all__ = ["main"]

_COMMAND_MODULE = _config_command
"""Importing the module registers its command; the reference keeps the import in use."""

if __name__ == "__main__":
    sys.exit(main())
