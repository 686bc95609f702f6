"""``python3 -m almondstack.platform``."""

import signal
import sys

# A reload that is asked for while the program still loads must not end it; the settings file is
# looked at once it runs.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from almondstack.platform.program import main  # noqa: E402

sys.exit(main())
