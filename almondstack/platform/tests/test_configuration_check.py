"""What ``almondctl config check`` finds, and that it agrees with the platform program."""

import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from almondstack.ctl import ExitCode
from almondstack.jobs.admission_state import wait_key
from almondstack.placement import Resources, objective_s
from almondstack.placement.backlog import excess_wait_ms
from almondstack.platform.almondctl import main
from almondstack.platform.configuration import (
    ConfigurationError,
    ConfigurationHolder,
    decode_configuration,
)
from almondstack.platform.configuration_check import Severity, check_bytes
from almondstack.platform.configuration_diff import diff_configurations
from almondstack.platform.tests.builders import configuration_bytes
from almondstack.testing.job_builders import make_job

_JOB = "5c0e7a21d94b36f8"
_ROUTE = json.loads(configuration_bytes())["routes"][0]
_TENANT = {"name": "t", "api-keys": ["k"]}


def _faults(**fields):
    found = check_bytes(configuration_bytes(**fields))
    return [finding.place for finding in found if finding.severity is Severity.FAULT]


def _warnings(**fields):
    found = check_bytes(configuration_bytes(**fields))
    return [finding.place for finding in found if finding.severity is Severity.WARNING]


def _route(**fields):
    return {**_ROUTE, **fields}


def _accepted(data):
    """Return the configuration as a process takes it up, or None if it can't."""
    holder = ConfigurationHolder()
    try:
        holder.put_configuration(data)
    except ConfigurationError:
        return None
    return holder.configuration


_TEXTS = st.sampled_from(["", "q", "/q", "/q/", "/q/ab", "A:1", "a", "\u20ac", " k", "p"])
_NUMBERS = st.sampled_from([-1, 0, 1, 5_000, 2**62, -(2**63), 2**63, 2**64, -(10**25), 10**400])
_ROUTES = st.fixed_dictionaries(
    {"name": _TEXTS, "host": _TEXTS, "path-prefix": _TEXTS, "service": st.just("p")},
    optional={
        "timeout-ms": st.one_of(_NUMBERS, st.text(max_size=1)),
        "stretch": st.floats(),
        "target-latency-ms": _NUMBERS,
        "priority": _NUMBERS,
        "max-attempts": _NUMBERS,
        "advice": st.dictionaries(
            st.sampled_from(["decision-ms", "period-ms", "valid-ms"]), _NUMBERS
        ),
    },
)
_TENANTS = st.fixed_dictionaries(
    {"name": _TEXTS},
    optional={
        "api-keys": st.lists(_TEXTS),
        "weight": st.one_of(_NUMBERS, st.floats()),
        "maximum": st.dictionaries(st.sampled_from(["cpu", "mem-mb", "gpus"]), _NUMBERS),
    },
)
_DOCUMENTS = st.one_of(
    st.binary(max_size=20),
    st.fixed_dictionaries(
        {"version": st.one_of(_NUMBERS, st.none())},
        optional={
            "routes": st.lists(_ROUTES, max_size=3),
            "services": st.just([{"name": "p"}]),
            "tenants": st.lists(_TENANTS, max_size=3),
            "limits": st.dictionaries(
                st.sampled_from(["max-header-bytes", "max-body-bytes"]), _NUMBERS
            ),
        },
    ).map(lambda document: json.dumps(document).encode()),
)


def _use(policies):
    """Compute with the figures of a configuration as an owner does."""
    job = make_job()
    for policy in policies.queues.values():
        objective_s(job, policy)
        excess_wait_ms({wait_key(policy.pool, "a"): 1.0}, job.submission, policy)
    for account in policies.accounts.values():
        assert account.allows(Resources(1, 1, 1), Resources(1, 1, 1)) in (True, False)
        assert 1.0 / account.weight > 0.0


_BIG = 10**400


@pytest.mark.parametrize("value", [_BIG, -_BIG, 2**63, -(2**63) - 1])
@pytest.mark.parametrize(
    ("fields", "place"),
    [
        (lambda value: {"version": value}, "$.version"),
        (lambda value: {"routes": [_route(**{"timeout-ms": value})]}, "$.routes[0].timeout-ms"),
        (
            lambda value: {"routes": [_route(**{"target-latency-ms": value})]},
            "$.routes[0].target-latency-ms",
        ),
        (lambda value: {"routes": [_route(priority=value)]}, "$.routes[0].priority"),
        (
            lambda value: {"routes": [_route(advice={"valid-ms": value})]},
            "$.routes[0].advice.valid-ms",
        ),
        (lambda value: {"limits": {"max-body-bytes": value}}, "$.limits.max-body-bytes"),
        (
            lambda value: {"tenants": [{**_TENANT, "maximum": {"cpu": value}}]},
            "$.tenants[0].maximum.cpu",
        ),
    ],
)
def test_an_integer_that_no_process_accepts_is_a_fault(fields, place, value):
    data = json.dumps({**json.loads(configuration_bytes()), **fields(value)}).encode()
    assert [(one.severity, one.place) for one in check_bytes(data)] == [(Severity.FAULT, place)]
    assert _accepted(data) is None


def test_a_wave_whose_integers_no_process_accepts_is_refused():
    with pytest.raises(ConfigurationError):
        ConfigurationHolder().put_wave(b'{"wave": 1, "machines": [], "maximum": %d}' % _BIG)


def test_what_a_process_can_not_make_a_configuration_of_is_a_fault(monkeypatch):
    def fail(_wire):
        raise OverflowError("too large")

    monkeypatch.setattr("almondstack.platform.configuration.QueueRoute", fail)
    assert [one.severity for one in check_bytes(configuration_bytes())] == [Severity.FAULT]


@given(_DOCUMENTS)
@example(configuration_bytes(routes=[_route(**{"timeout-ms": _BIG})]))
@example(configuration_bytes(routes=[_route(**{"target-latency-ms": _BIG})]))
@example(configuration_bytes(tenants=[{**_TENANT, "maximum": {"cpu": _BIG}}]))
def test_what_passes_is_what_a_process_accepts_and_every_entry_can_match(data):
    found = check_bytes(data)
    configuration = _accepted(data)
    if configuration is None:
        assert [finding.severity for finding in found] == [Severity.FAULT]
        return
    if any(finding.severity is Severity.FAULT for finding in found):
        return
    _use(configuration.policies)
    document = json.loads(data)
    for route in document.get("routes", []):
        path = route["path-prefix"] + _JOB
        matched = configuration.route(route["host"], path)
        assert (matched.policy.name, matched.prefix) == (route["name"], route["path-prefix"])
        assert matched.host == matched.host.lower().partition(":")[0]
    for tenant in document.get("tenants", []):
        for key in tenant.get("api-keys", []):
            assert configuration.account_of(key.strip()) == tenant["name"]


def test_a_whole_configuration_has_no_findings():
    assert check_bytes(configuration_bytes()) == []


@pytest.mark.parametrize(
    "fields",
    [
        {"routes": [_route(), _route(host="b")]},
        {"routes": [_route(), _route(name="all", **{"path-prefix": "/"})]},
        {"routes": [_route(public=True)], "tenants": []},
    ],
)
def test_what_is_allowed_gives_no_finding(fields):
    """Two addresses of one queue, a prefix within another, a queue without keys."""
    assert check_bytes(configuration_bytes(**fields)) == []


@pytest.mark.parametrize(
    ("data", "place"),
    [
        (b"", "$"),
        (b"\xff", "$"),
        (b"[" * 9_000, "$"),
        (b'{"version": "1"}', "$.version"),
        (configuration_bytes(routes=[_route(priority="high")]), "$.routes[0].priority"),
    ],
)
def test_a_document_that_can_not_be_decoded_is_a_fault_with_its_place(data, place):
    (finding,) = check_bytes(data)
    assert (finding.severity, finding.place) == (Severity.FAULT, place)


@pytest.mark.parametrize(
    ("fields", "place"),
    [
        ({"routes": [_route(), _route(name="other")]}, "$.routes[1]"),
        ({"routes": [_route(), _route(host="b", priority=0)]}, "$.routes[1]"),
        ({"services": [{"name": "pool"}, {"name": "pool"}]}, "$.services[1]"),
        ({"routes": [_route(host="Jobs.example")]}, "$.routes[0].host"),
        ({"routes": [_route(host="jobs.example:80")]}, "$.routes[0].host"),
        ({"routes": [_route(**{"path-prefix": "q/"})]}, "$.routes[0].path-prefix"),
        ({"routes": [_route(**{"path-prefix": ""})]}, "$.routes[0].path-prefix"),
        (
            {"routes": [_route(), _route(name="o", **{"path-prefix": "/q/ab"})]},
            "$.routes[1].path-prefix",
        ),
        ({"routes": [_route(service="other")]}, "$.routes[0].service"),
        ({"tenants": [_TENANT, {**_TENANT, "name": "u"}]}, "$.tenants[1].api-keys[0]"),
        ({"tenants": [{**_TENANT, "api-keys": [" k"]}]}, "$.tenants[0].api-keys[0]"),
        ({"tenants": [{**_TENANT, "api-keys": [""]}]}, "$.tenants[0].api-keys[0]"),
        ({"tenants": [{**_TENANT, "maximum": {"mem-mb": -1}}]}, "$.tenants[0].maximum.mem-mb"),
        ({"tenants": [{**_TENANT, "weight": 0}]}, "$.tenants[0].weight"),
        ({"limits": {"max-body-bytes": 0}}, "$.limits.max-body-bytes"),
        ({"routes": [_route(**{"max-attempts": 0})]}, "$.routes[0].max-attempts"),
        ({"routes": [_route(**{"timeout-ms": 0})]}, "$.routes[0].timeout-ms"),
        ({"routes": [_route(**{"target-latency-ms": -1})]}, "$.routes[0].target-latency-ms"),
        ({"routes": [_route(stretch=-1.0)]}, "$.routes[0].stretch"),
        (
            {"routes": [_route(advice={"decision-ms": 200, "period-ms": 20, "valid-ms": 220})]},
            "$.routes[0].advice.valid-ms",
        ),
    ],
)
def test_what_can_never_have_an_effect_or_contradicts_itself_is_a_fault(fields, place):
    assert place in _faults(**fields)


@pytest.mark.parametrize(
    ("fields", "place"),
    [
        ({"services": [{"name": "pool"}, {"name": "idle"}]}, "$.services[1]"),
        ({"tenants": [_TENANT, {"name": "u"}]}, "$.tenants[1].api-keys"),
        ({"tenants": []}, "$.routes[0]"),
        ({"routes": [_route(service="off")]}, "$.routes[0].service"),
        ({"routes": [_route(**{"timeout-ms": 500})]}, "$.routes[0].timeout-ms"),
        ({"routes": [_route(stretch=0.0, **{"target-latency-ms": 0})]}, "$.routes[0]"),
        ({"limits": {"max-header-bytes": 0}}, "$.limits.max-header-bytes"),
        ({"routes": [_route(**{"time-out-ms": 1})]}, "$.routes[0].time-out-ms"),
        ({"tenants": [{**_TENANT, "maximum": {"memory": 1}}]}, "$.tenants[0].maximum.memory"),
    ],
)
def test_what_may_be_meant_is_a_warning(fields, place):
    assert place in _warnings(**fields) and _faults(**fields) == []


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a configuration to a file and returns its path."""

    def write_file(name, data):
        path = tmp_path / name
        path.write_bytes(data)
        return str(path)

    return write_file


def test_exit_codes_are_those_of_the_other_commands(write, capsys):
    good = write("good.json", configuration_bytes())
    warned = write("warned.json", configuration_bytes(more=1))
    bad = write("bad.json", b"{")
    assert main(["config", "check", good]) == ExitCode.OK
    assert main(["config", "check", warned]) == ExitCode.OK
    assert main(["config", "check", warned, "--strict"]) == ExitCode.FAULTS
    assert main(["config", "check", bad]) == ExitCode.FAULTS
    assert main(["config", "check", good, "--against", bad]) == ExitCode.USAGE
    assert main(["config", "check", good + "-missing"]) == ExitCode.USAGE
    assert "good.json-missing" in capsys.readouterr().err


def test_what_differs_from_the_version_in_force_is_shown_without_keys(write, capsys):
    before = write("before.json", configuration_bytes(4))
    after = write(
        "after.json",
        configuration_bytes(
            5,
            routes=[_route(priority=0)],
            services=[{"name": "pool"}],
            tenants=[{"name": "t", "api-keys": ["secret-key"], "weight": 2, "maximum": {"cpu": 9}}],
        ),
    )
    assert main(["--output", "json", "config", "check", after, "--against", before]) == ExitCode.OK
    text = capsys.readouterr().out
    changes = {change["place"]: change for change in json.loads(text)["changes"]}
    assert changes.keys() == {
        "version",
        "routes r-1 priority",
        "services off",
        "tenants t api-keys",
    }
    assert changes["routes r-1 priority"]["before"] == "1"
    assert changes["services off"]["after"] == ""
    assert changes["tenants t api-keys"]["after"] == "1"
    assert "secret-key" not in text
    assert main(["config", "check", after, "--against", before]) == ExitCode.OK
    assert "routes r-1 priority" in capsys.readouterr().out


def _changes(before, after):
    found = diff_configurations(
        decode_configuration(configuration_bytes(4, routes=before)),
        decode_configuration(configuration_bytes(4, routes=after)),
    )
    return [(change.place, change.before, change.after) for change in found]


@pytest.mark.parametrize("number", [0, 1])
def test_a_change_of_one_of_several_addresses_of_a_queue_is_shown(number):
    before = [_route(name="q", host=host, **{"path-prefix": "/q/"}) for host in ("a", "b")]
    after = list(before)
    after[number] = {**after[number], "host": "c"}
    assert sorted(_changes(before, after)) == [
        (f"routes q {before[number]['host']} /q/", "present", ""),
        ("routes q c /q/", "", "present"),
    ]
    assert _changes(before, before[::-1]) == []
    assert _changes(before, before[:1]) == [("routes q b /q/", "present", "")]
    after[number] = {**before[number], "priority": 7}
    place = f"routes q {before[number]['host']} /q/ priority"
    assert _changes(before, after) == [(place, str(before[number]["priority"]), "7")]


def test_a_change_of_the_only_address_of_a_queue_is_shown_by_field():
    before, after = [_route(name="q", host="a")], [_route(name="q", host="b")]
    assert _changes(before, after) == [("routes q host", '"a"', '"b"')]


@pytest.mark.parametrize("version", [3, 4])
def test_a_version_that_is_not_above_the_one_in_force_is_a_fault(version, write, capsys):
    before = write("before.json", configuration_bytes(4))
    after = write("after.json", configuration_bytes(version))
    assert main(["config", "check", after, "--against", before]) == ExitCode.FAULTS
    assert "$.version" in capsys.readouterr().out


def test_a_document_that_can_not_be_decoded_is_compared_with_nothing(write, capsys):
    before = write("before.json", configuration_bytes(4))
    after = write("after.json", b"{")
    assert main(["config", "check", after, "--against", before]) == ExitCode.FAULTS
    assert "changes" not in capsys.readouterr().out
