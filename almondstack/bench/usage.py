"""Reads processor time and memory of processes from ``/proc`` (see proc(5))."""

import os
import subprocess
import sys
import time
from pathlib import Path

import msgspec

__all__ = ["ProcessUsage", "read_process_usage", "run_and_measure"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_SAMPLING_INTERVAL_S = 0.005
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_TICKS, _SYSTEM_TICKS, _RESIDENT_PAGES = 11, 12, 21


class ProcessUsage(msgspec.Struct, frozen=True):
    """Processor time and memory of a process.

    Parameters
    ----------
    cpu_s : float
        Processor time of all threads, in seconds, with a resolution of 0.01 s.
    resident_mib : float
        Resident memory, in MiB.
    """

    cpu_s: float
    resident_mib: float


def read_process_usage(pid: int) -> ProcessUsage:
    """Return the processor time so far and the current resident memory of a process.

    Examples
    --------
    >>> import os
    >>> from almondstack.bench.usage import read_process_usage
    >>> read_process_usage(os.getpid()).resident_mib > 1
    True
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    resident = int(fields[_RESIDENT_PAGES]) * _PAGE_BYTES
    return ProcessUsage(ticks / _TICKS_PER_S, resident / 2**20)


def run_and_measure(module: str, *arguments: str) -> ProcessUsage:
    """Run a module until it exits; return its processor time and peak resident memory.

    Raises
    ------
    subprocess.CalledProcessError
        The exit code was not 0.
    """
    command = [sys.executable, "-m", module, *arguments]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    peak_mib = 0.0
    while True:
        ended, status, usage = os.wait4(process.pid, os.WNOHANG)
        if ended:
            break
        peak_mib = max(peak_mib, _peak_mib(process.pid))
        time.sleep(_SAMPLING_INTERVAL_S)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode != 0:
        raise subprocess.CalledProcessError(process.returncode, command)
    return ProcessUsage(usage.ru_utime + usage.ru_stime, peak_mib)


def _peak_mib(pid: int) -> float:
    """Return the peak resident memory since the last exec, in MiB; 0 if unknown.

    Explanation
    -----------
    ``getrusage`` would also count the memory of the parent at the time of the fork.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0
