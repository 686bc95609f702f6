"""Checks a configuration before it is sent: faults, and what can never have an effect."""

import json
from collections.abc import Iterator
from enum import StrEnum

import msgspec

from almondstack.control.advice_times import is_usable
from almondstack.core import DECODING_ERRORS
from almondstack.platform.configuration import (
    Configuration,
    ConfigurationError,
    advice_policy,
    decode_configuration,
)
from almondstack.platform.wire import ConfigurationWire, ResourcesWire, RouteWire, TenantWire

__all__ = ["Finding", "Severity", "check_bytes", "check_configuration"]

_JOB_ID_DIGITS = 16
"""A job's id is this many hexadecimal digits; its path is the prefix of its route and the id."""

_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


class Severity(StrEnum):
    """Whether a configuration must not be sent, or may be what the operator wants."""

    FAULT = "fault"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True, order=True):
    """Something that a check has found.

    Parameters
    ----------
    severity : Severity
        Whether it is a fault.
    place : str
        Path of the value in the document.
    says : str
        What is wrong with it.  It has no keys: they are secrets.
    """

    severity: Severity
    place: str
    says: str


def check_bytes(data: bytes) -> list[Finding]:
    """Return what is found in an encoded configuration.

    Explanation
    -----------
    The platform program's own code decodes it and builds its configuration; what fails there is
    a fault.

    Examples
    --------
    >>> for finding in check_bytes(b'{"version": 1, "routes": [{"name": "q"}]}'):
    ...     print(finding.severity, finding.place)
    fault $.routes[0]
    """
    try:
        wire = decode_configuration(data)
    except ConfigurationError as error:
        return [_undecodable(error.detail)]
    try:
        Configuration(wire)
    except (ArithmeticError, ValueError) as error:
        return [_fault("$", f"no process can take it up: {error}")]
    return sorted([*check_configuration(wire), *_unread_fields(data)])


def check_configuration(wire: ConfigurationWire) -> list[Finding]:
    """Return what is found in a decoded configuration, faults first."""
    found = [
        *_check_names(wire),
        *_check_matches(wire),
        *_check_keys(wire),
        *_check_pools(wire),
        *_check_limits(wire),
    ]
    return sorted(found)


def _undecodable(detail: str) -> Finding:
    """Return the fault for a decoder's message, which ends in the place."""
    says, _, place = detail.rpartition(" - at `")
    if not says:
        return Finding(Severity.FAULT, "$", detail)
    return Finding(Severity.FAULT, place.rstrip("`"), says)


def _fault(place: str, says: str) -> Finding:
    return Finding(Severity.FAULT, place, says)


def _warning(place: str, says: str) -> Finding:
    return Finding(Severity.WARNING, place, says)


def _check_names(wire: ConfigurationWire) -> Iterator[Finding]:
    """Find entries of one name, of which only the last is used."""
    for section in ("routes", "services", "tenants"):
        first: dict[str, tuple[str, msgspec.Struct]] = {}
        for number, item in enumerate(getattr(wire, section)):
            place = f"$.{section}[{number}]"
            other_place, other = first.setdefault(item.name, (place, item))
            if other is not item and not _is_same_queue(item, other):
                yield _fault(place, f"has the name of {other_place}, and takes its place")


def _is_same_queue(entry: msgspec.Struct, other: msgspec.Struct) -> bool:
    """Whether two routes are addresses of one queue: they differ only in host and prefix."""
    if not isinstance(entry, RouteWire) or not isinstance(other, RouteWire):
        return False
    return other == msgspec.structs.replace(entry, host=other.host, path_prefix=other.path_prefix)


def _check_matches(wire: ConfigurationWire) -> Iterator[Finding]:
    """Find routes that match no request, or that take jobs of another route."""
    first: dict[tuple[str, str], str] = {}
    for number, route in enumerate(wire.routes):
        place = f"$.routes[{number}]"
        key = route.host, route.path_prefix
        if key in first:
            yield _fault(place, f"never matches: {first[key]} has the same host and prefix")
        first.setdefault(key, place)
        if not _can_be_host(route.host):
            yield _fault(f"{place}.host", "never matches: a host is in lower case, without port")
        if not _can_begin_path(route.path_prefix):
            yield _fault(f"{place}.path-prefix", "never matches: a path begins with /, in Latin-1")
    for number, route in enumerate(wire.routes):
        yield from _check_overlap(f"$.routes[{number}].path-prefix", route, first)


def _check_overlap(
    place: str, route: RouteWire, places: dict[tuple[str, str], str]
) -> Iterator[Finding]:
    """Find a route whose prefix is that of another and some digits.

    Explanation
    -----------
    The longest prefix that matches counts, so that the other route loses the jobs whose ids begin
    with these digits.
    """
    for length in range(1, min(_JOB_ID_DIGITS, len(route.path_prefix)) + 1):
        shorter, digits = route.path_prefix[:-length], route.path_prefix[-length:]
        if not _HEX_DIGITS.issuperset(digits):
            return
        other = places.get((route.host, shorter))
        if other is not None:
            yield _fault(place, f"takes the jobs of {other} whose ids begin with {digits}")


def _can_be_host(host: str) -> bool:
    return host == host.lower() and ":" not in host and _is_latin(host)


def _can_begin_path(prefix: str) -> bool:
    return prefix.startswith("/") and _is_latin(prefix)


def _is_latin(text: str) -> bool:
    try:
        text.encode("latin-1")
    except UnicodeEncodeError:
        return False
    return True


def _check_keys(wire: ConfigurationWire) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for number, tenant in enumerate(wire.tenants):
        place = f"$.tenants[{number}].api-keys"
        if not tenant.keys:
            yield _warning(place, "the account has no key: it can't submit")
        for key_number, key in enumerate(tenant.keys):
            key_place = f"{place}[{key_number}]"
            other = owners.setdefault(key, tenant.name)
            if other != tenant.name:
                yield _fault(key_place, f"is a key of {other} as well")
            if not key or key != key.strip() or not _is_latin(key):
                yield _fault(key_place, "never matches: empty, with spaces around, or not Latin-1")
    if not owners:
        for number, route in enumerate(wire.routes):
            if not route.is_public:
                yield _warning(f"$.routes[{number}]", "nobody can submit: no account has a key")


def _check_pools(wire: ConfigurationWire) -> Iterator[Finding]:
    services = {service.name: service for service in wire.services}
    used = {route.pool for route in wire.routes}
    for number, route in enumerate(wire.routes):
        place = f"$.routes[{number}].service"
        service = services.get(route.pool)
        if service is None:
            yield _fault(place, "is not among the services: it gets no instances")
        elif service.is_off:
            yield _warning(place, "is a standby service, whose instances are switched off")
    for number, service in enumerate(wire.services):
        if service.name not in used and not service.is_off:
            yield _warning(f"$.services[{number}]", "is used by no route")


def _check_limits(wire: ConfigurationWire) -> Iterator[Finding]:
    if wire.limits.max_body_bytes <= 0:
        yield _fault("$.limits.max-body-bytes", "refuses every submission")
    if wire.limits.max_header_bytes <= 0:
        yield _warning("$.limits.max-header-bytes", "is not positive")
    for number, route in enumerate(wire.routes):
        yield from _check_route_limits(f"$.routes[{number}]", route)
    for number, tenant in enumerate(wire.tenants):
        yield from _check_account_limits(f"$.tenants[{number}]", tenant)


def _check_route_limits(place: str, route: RouteWire) -> Iterator[Finding]:
    if route.max_attempts < 1:
        yield _fault(f"{place}.max-attempts", "is less than 1")
    if route.timeout_ms <= 0:
        yield _fault(f"{place}.timeout-ms", "is not positive")
    elif route.timeout_ms < route.objective_ms:
        yield _warning(f"{place}.timeout-ms", "is less than target-latency-ms")
    if route.objective_ms < 0:
        yield _fault(f"{place}.target-latency-ms", "is negative")
    if route.stretch < 0:
        yield _fault(f"{place}.stretch", "is negative")
    if route.stretch <= 0 and route.objective_ms <= 0:
        yield _warning(place, "no job can end in time: stretch and target-latency-ms are 0")
    if route.advice is not None and not is_usable(advice_policy(route.advice)):
        yield _fault(f"{place}.advice.valid-ms", "tickets expire before a call for them can end")


def _check_account_limits(place: str, tenant: TenantWire) -> Iterator[Finding]:
    if tenant.weight <= 0:
        yield _fault(f"{place}.weight", "is not positive")
    for name, value in _amounts(tenant.ceiling):
        if value < 0:
            yield _fault(f"{place}.maximum.{name}", "is negative: no task can start")


def _amounts(amounts: ResourcesWire) -> Iterator[tuple[str, int]]:
    for info in msgspec.structs.fields(ResourcesWire):
        yield info.encode_name, getattr(amounts, info.name)


def _unread_fields(data: bytes) -> Iterator[Finding]:
    """Find fields that the platform program does not read: misspelled, or of a later version."""
    try:
        document = json.loads(data)
    except DECODING_ERRORS:
        return
    yield from _unread_in("$", document, msgspec.inspect.type_info(ConfigurationWire))


def _unread_in(place: str, value: object, kind: msgspec.inspect.Type) -> Iterator[Finding]:
    """Find fields of a value that its type has not, in all that it contains."""
    if isinstance(kind, msgspec.inspect.UnionType):
        for member in kind.types:
            yield from _unread_in(place, value, member)
    elif isinstance(kind, msgspec.inspect.VarTupleType) and isinstance(value, list):
        for number, item in enumerate(value):
            yield from _unread_in(f"{place}[{number}]", item, kind.item_type)
    elif isinstance(kind, msgspec.inspect.StructType) and isinstance(value, dict):
        fields = {field.encode_name: field.type for field in kind.fields}
        for name, item in value.items():
            if name in fields:
                yield from _unread_in(f"{place}.{name}", item, fields[name])
            else:
                yield _warning(f"{place}.{name}", "is not read")
