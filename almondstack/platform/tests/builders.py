"""Builders of servers, configurations and requests for the adapter's tests."""

import json
import threading
from contextlib import contextmanager

from almondstack.platform.job_api import Request
from almondstack.standin.web import serve
from almondstack.testing.addresses import free_address

__all__ = ["configuration_bytes", "job_body", "request", "serving", "settings_text"]

JOB = "5c0e7a21d94b36f8"


@contextmanager
def serving(app):
    """Serve a stand-in on loopback; yields its address."""
    address = free_address()
    server = serve(app, address, threads=8)
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield address
    finally:
        server.stop()
        thread.join()


def configuration_bytes(version=1, **fields):
    """Return an encoded configuration with one queue and one tenant."""
    route = {
        "name": "r-1",
        "host": "jobs.example",
        "path-prefix": "/q/",
        "service": "pool",
        "timeout-ms": 3000,
        "target-latency-ms": 600,
        "priority": 1,
        "max-attempts": 3,
        "stretch": 1.6,
        "public": False,
    }
    content = {
        "version": version,
        "routes": [route],
        "services": [{"name": "pool"}, {"name": "off", "standby": True}],
        "limits": {"max-body-bytes": 10_000},
        "tenants": [{"name": "t", "api-keys": ["k"], "weight": 2, "maximum": {"cpu": 9}}],
        **fields,
    }
    return json.dumps(content).encode()


def job_body(**fields):
    """Return the body of a submission of one step with two tasks."""
    content = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "estimate-ms": 900}], **fields}
    return json.dumps(content).encode()


def request(method, path=f"/q/{JOB}", body=b"", key="k", host="jobs.example", deadline_s=3.0):
    """Return a caller's request."""
    return Request(method, host, path, key, deadline_s, body)


def settings_text(store="127.0.0.1:1", **lines):
    """Return the text of a settings file; ``lines`` adds or replaces top-level fields."""
    fields = {
        "node-name": "edge-1",
        "zone": "a",
        "ip": "127.0.0.1",
        "listen": '{front: "127.0.0.1:2", ready: "127.0.0.1:3"}',
        "port-range": "[7000, 7015]",
        "platform": f'{{address: "{store}", parts: 24}}',
        "cloud-api": '{address: "127.0.0.1:4"}',
        "bounds": "{max-hold-ms: 6000, grace-s: 6, status_s: 120, new-bound: 1}",
        "new-field": "1",
        **lines,
    }
    return "".join(f"{name}: {value}\n" for name, value in fields.items())
