import contextlib
import datetime
import io
import ipaddress
import json
import os
import ssl
import tempfile
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from knapweedbridge_cli.main import run as run_command

BEGAN = datetime.datetime(2020, 1, 1)
ENDS = datetime.datetime(2120, 1, 1)
IP = "127.0.0.1"
PEM = serialization.Encoding.PEM
ENDPOINT = {
    "kind": "engine",
    "address": f"{IP}:1",
    "data_centre": "dc1",
    "serves": "namib-7b",
    "leaving": False,
    "owner": "",
    "number": 0,
    "loaded": [],
    "running": 0,
}


def _sign(name, key, issuer, issuer_key, extensions):
    builder = (
        x509.CertificateBuilder()
        .subject_name(_named(name))
        .issuer_name(_named(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(BEGAN)
        .not_valid_after(ENDS)
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key(issuer_key.public_key()),
            critical=False,
        )
    )
    for extension in extensions:
        critical = isinstance(extension, x509.BasicConstraints | x509.KeyUsage)
        builder = builder.add_extension(extension, critical)
    return builder.sign(issuer_key, hashes.SHA256()).public_bytes(PEM)


def _named(name):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def _make_authority(folder, name):
    key = ec.generate_private_key(ec.SECP256R1())
    extensions = [
        x509.BasicConstraints(True, None),
        x509.SubjectKeyIdentifier.from_public_key(key.public_key()),
        x509.KeyUsage(False, False, False, False, False, True, True, False, False),
    ]
    Path(folder, f"{name}.pem").write_bytes(_sign(name, key, name, key, extensions))
    return key


def _make_pair(folder, authority_key):
    key = ec.generate_private_key(ec.SECP256R1())
    address = x509.IPAddress(ipaddress.ip_address(IP))
    extensions = [x509.SubjectAlternativeName([address])]
    certificate = _sign("daemon", key, "own", authority_key, extensions)
    private = key.private_bytes(
        PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    path = Path(folder, "pair.pem")
    path.write_bytes(private + certificate)
    return path


class _Face(BaseHTTPRequestHandler):
    def do_GET(self):
        body = json.dumps({"draft-0": ENDPOINT}).encode()
        self.send_response(200)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


class _Server(ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        pass


@given("an administration face with a certificate of a private authority")
def private_face(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.authorities = folder.name
    key = _make_authority(folder.name, "own")
    _make_authority(folder.name, "other")
    secure = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    secure.load_cert_chain(_make_pair(folder.name, key))
    server = _Server((IP, 0), _Face)
    server.socket = secure.wrap_socket(server.socket, server_side=True)
    thread = threading.Thread(target=server.serve_forever, args=(0.02,))
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.face = f"https://{IP}:{server.server_address[1]}"


@when("the command asks it with {options} and {variable} = {name}")
def ask_face(context, options, variable, name):
    arguments = ["endpoints", "--url", context.face, "--key", "any"]
    if options.startswith("--ca "):
        option, _, file = options.partition(" ")
        arguments += [option, f"{context.authorities}/{file}.pem"]
    unset = ("KNAPWEEDBRIDGE_CA", "KNAPWEEDBRIDGE_CA_FILE")
    environment = {key: text for key, text in os.environ.items() if key not in unset}
    environment[variable] = f"{context.authorities}/{name}.pem"
    out, err = io.StringIO(), io.StringIO()
    with (
        patch.dict(os.environ, environment, clear=True),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        context.code = run_command(arguments)
    context.said = out.getvalue() + err.getvalue()


@then('the command ends with {code:d} and says "{message}"')
def command_says(context, code, message):
    assert context.code == code, (context.code, context.said)
    assert message in context.said, context.said
