"""Reports an error of one request or one job, which the owner goes on without."""

import contextlib
from collections.abc import Iterator

from almondstack.control.runs import RunTable
from almondstack.control.services import OwnerServices
from almondstack.core.supervision import report_error

__all__ = ["set_aside", "setting_aside"]

_MAX_REASON = 200
"""Characters of an error in an event."""


def set_aside(services: OwnerServices, event: str, job: str, error: Exception) -> None:
    """Report the error that is being handled, with the job that it concerns.

    Parameters
    ----------
    services : OwnerServices
        Get an event and a count.
    event : str
        Name of the event: ``request-failed`` or ``job-set-aside``.
    job : str
        The job's id.
    error : Exception
        What was raised.
    """
    report_error()
    services.metrics.count(f"owner.{event}")
    services.events.write(event, job=job, error=repr(error)[:_MAX_REASON])


@contextlib.contextmanager
def setting_aside(services: OwnerServices, table: RunTable, job: str) -> Iterator[None]:
    """Go on without a stored job whose record makes the block fail, and report it.

    Explanation
    -----------
    Each next owner reads the same record: if it ended the owner, it would end all of them.
    """
    try:
        yield
    except Exception as error:
        table.forget_job(job)
        set_aside(services, "job-set-aside", job, error)
