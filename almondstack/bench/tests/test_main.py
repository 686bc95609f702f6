"""Tests of how ``almondstack-bench`` exits."""

import signal
import subprocess
import sys

_PROGRAM = """
import time
from almondstack.bench.main import exit_on_sigterm
exit_on_sigterm()
try:
    print("ready", flush=True)
    time.sleep(60.0)
finally:
    print("cleaned up", flush=True)
"""


def test_sigterm_runs_the_cleanup_of_the_program():
    """Without cleanup, processes of a terminated soak run on and write to the next soak's store."""
    command = [sys.executable, "-c", _PROGRAM]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout.readline() == "ready\n"
        process.terminate()
        assert process.stdout.read() == "cleaned up\n"
    assert process.returncode == 128 + signal.SIGTERM
