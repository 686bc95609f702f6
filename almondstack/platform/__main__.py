"""Entry point of ``python3 -m almondstack.platform``."""

import sys

from almondstack.platform.program import main

if __name__ == "__main__":
    sys.exit(main())
