"""TLS for callers: stalled handshakes and changed certificates."""

import socket
import ssl

import pytest
import trustme

from almondstack.core import SettingsError, TlsSettings, parse_address
from almondstack.entry.tls import ReloadingTlsAdapter
from almondstack.testing.entries import FakeResponse, running_entry
from almondstack.testing.raw_http import read_to_end, submission


def respond_done(call):
    return FakeResponse([b"done"], 4)


def write_certificate(authority, folder, address):
    certificate = authority.issue_cert(parse_address(address)[0])
    certificate.private_key_pem.write_to_path(folder / "key.pem")
    certificate.cert_chain_pems[0].write_to_path(folder / "cert.pem")
    authority.cert_pem.write_to_path(folder / "ca.pem")


def settings_in(folder) -> TlsSettings:
    return TlsSettings(
        certificate_file=str(folder / "cert.pem"),
        private_key_file=str(folder / "key.pem"),
        authority_file=str(folder / "ca.pem"),
    )


def send_request(address, authority):
    context = ssl.create_default_context()
    authority.configure_trust(context)
    host, port = parse_address(address)
    with (
        socket.create_connection((host, port), timeout=10.0) as plain,
        context.wrap_socket(plain, server_hostname=host) as connection,
    ):
        connection.sendall(submission())
        serial = connection.getpeercert()["serialNumber"]
        return read_to_end(connection), serial


def test_requests_are_served_over_tls_while_another_handshake_stalls(tmp_path):
    authority = trustme.CA()
    write_certificate(authority, tmp_path, "127.0.0.1:1")
    with running_entry(respond_done, tls=settings_in(tmp_path)) as entry:
        write_certificate(authority, tmp_path, entry.address)
        with socket.create_connection(parse_address(entry.address)):
            response, _ = send_request(entry.address, authority)
        assert (response.status, response.body) == (200, b"done")


def test_new_certificate_is_used_without_a_restart(tmp_path):
    authority = trustme.CA()
    write_certificate(authority, tmp_path, "127.0.0.1:1")
    with running_entry(respond_done, tls=settings_in(tmp_path)) as entry:
        write_certificate(authority, tmp_path, entry.address)
        _, first = send_request(entry.address, authority)
        write_certificate(authority, tmp_path, entry.address)
        _, second = send_request(entry.address, authority)
        assert first != second


def test_plain_http_request_on_a_tls_port_is_not_run(tmp_path):
    authority = trustme.CA()
    write_certificate(authority, tmp_path, "127.0.0.1:1")
    with running_entry(respond_done, tls=settings_in(tmp_path)) as entry:
        with socket.create_connection(parse_address(entry.address), timeout=10.0) as plain:
            plain.sendall(submission())
            assert read_to_end(plain).status in (0, 400)
        assert entry.dispatcher.calls == []


def test_invalid_certificate_raises_a_settings_error(tmp_path):
    (tmp_path / "cert.pem").write_text("nonsense")
    (tmp_path / "key.pem").write_text("nonsense")
    with pytest.raises(SettingsError):
        ReloadingTlsAdapter(settings_in(tmp_path))
