"""Hypothesis profiles: the same verdict on every run, and longer runs for the bench."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")


def pytest_configure(config):
    """Record the reasons that product code gives while a whole run lasts."""
    from almondstack.testing.reason_record import ReasonRecord

    config.reason_record = ReasonRecord()
    config.reason_record.install()


def pytest_sessionfinish(session, exitstatus):
    """Fail a whole run in which some reason was never provoked."""
    is_whole = session.config.args_source.name == "TESTPATHS" and not session.config.option.keyword
    missing = session.config.reason_record.missing() if is_whole else []
    if missing and exitstatus == 0:
        print(f"\nno test provokes: {', '.join(missing)}")
        session.exitstatus = 1
