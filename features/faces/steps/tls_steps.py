import asyncio
import datetime
import ipaddress
import os
import signal
import ssl
import tempfile
from pathlib import Path

import anyio
import httpx
from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from knapweedbridge_core.errors import CheckError
from knapweedbridge_daemon.local_files import load_settings
from knapweedbridge_standins.embedded import EmbeddedPlatform, EmbeddedRunner
from knapweedbridge_standins.example import ADMINISTRATOR_KEY, CALLER_KEY, Example
from knapweedbridge_standins.oracle import answer

BASE_PORT = 22200
TOKENS = 60
WAIT_S = 10
BEGAN = datetime.datetime(2020, 1, 1)
ENDS = datetime.datetime(2120, 1, 1)
PEM = serialization.Encoding.PEM
PKCS8 = serialization.PrivateFormat.PKCS8
PLAIN_KEY = serialization.NoEncryption()
IP = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.2"


def make_pair(name, encryption=PLAIN_KEY):
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    alternative = x509.SubjectAlternativeName(
        [x509.IPAddress(ipaddress.ip_address(IP))]
    )
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(BEGAN)
        .not_valid_after(ENDS)
        .add_extension(alternative, critical=False)
        .add_extension(x509.BasicConstraints(True, None), critical=True)
        .sign(key, hashes.SHA256())
    )
    key_pem = key.private_bytes(PEM, PKCS8, encryption)
    return certificate.public_bytes(PEM), key_pem


def pairs():
    first, second, other = (make_pair(name) for name in ("first", "second", "other"))
    locked = make_pair("locked", serialization.BestAvailableEncryption(b"secret"))
    return {
        'the certificate "first"': first,
        'the certificate "second"': second,
        "a certificate of another key": (second[0], other[1]),
        "text that is no certificate": (b"no certificate\n", second[1]),
        "an empty key": (second[0], b""),
        "an encrypted key": locked,
        "nothing: both are gone": (None, None),
        "a certificate without a key": (first[0], None),
        "a key without a certificate": (None, first[1]),
    }


def write(context, pair):
    for path, data in zip((context.certificate, context.key), pair, strict=True):
        new = path.with_suffix(".new")
        if data is None:
            path.unlink(missing_ok=True)
            continue
        new.write_bytes(data)
        new.rename(path)


def prepare(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.certificate = context.folder / "certificate.pem"
    context.key = context.folder / "key.pem"
    context.pairs = pairs()


def start(context, poll_s):
    prepare(context)
    write(context, context.pairs['the certificate "first"'])
    trusted = context.folder / "trusted.pem"
    trusted.write_bytes(context.certificate.read_bytes())
    settings = """
[requests]
drain_timeout_s = 5
"""

    class Secure(Example):
        def settings(self, place, secret_file):
            listen = f"""[listen]
certificate_file = {context.certificate}
key_file = {context.key}
certificate_poll_s = {poll_s}
"""
            text = super().settings(place, secret_file)
            return text.replace("[listen]\n", listen)

    example = Secure(BASE_PORT, daemons=1, engines=1, ip=IP)
    runner = EmbeddedRunner(
        lambda: EmbeddedPlatform(
            example, extra_settings=settings, certificate_file=str(trusted)
        )
    )
    context.example = example
    context.tls = runner.__enter__()
    context.add_cleanup(runner.__exit__)


@given('a daemon that shows the certificate "first" on both faces')
def shows_first(context):
    start(context, 0.02)


@given("a daemon that looks at its files only on a signal")
def on_signal(context):
    start(context, 80000)


def trusting():
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


def caller(context):
    return httpx.AsyncClient(
        base_url=f"https://{context.example.callers(0)}",
        headers={"authorization": f"Bearer {CALLER_KEY}"},
        verify=trusting(),
        trust_env=False,
        timeout=WAIT_S,
    )


def body():
    return {
        "model": "refill-0@1",
        "prompt": "hello",
        "stream": True,
        "max_tokens": TOKENS,
    }


@then("a caller gets a whole answer over TLS")
def whole_answer(context):
    async def ask():
        async with caller(context) as client:
            asked = {**body(), "stream": False}
            return (await client.post("/v1/completions", json=asked)).json()

    text = context.tls.run(ask())["choices"][0]["text"]
    assert text == "".join(answer("refill-0@1", "hello", TOKENS))


@then("an operator gets the status over TLS")
def operator_status(context):
    async def ask():
        headers = {"authorization": f"Bearer {ADMINISTRATOR_KEY}"}
        url = f"https://{context.example.administration(0)}/v1/status"
        async with httpx.AsyncClient(verify=trusting(), trust_env=False) as client:
            return await client.get(url, headers=headers)

    assert context.tls.run(ask()).status_code == 200


@then("a call without TLS is not answered")
def no_plain(context):
    async def ask():
        url = f"http://{context.example.callers(0)}/v1/models"
        async with httpx.AsyncClient(trust_env=False, timeout=WAIT_S) as client:
            await client.get(url)

    try:
        context.tls.run(ask())
    except httpx.TransportError:
        return
    raise AssertionError("it was answered")


@when("a caller begins a stream over TLS")
def begin_stream(context):
    async def read(begun):
        lines = []
        async with (
            caller(context) as client,
            client.stream("POST", "/v1/completions", json=body()) as response,
        ):
            async for line in response.aiter_lines():
                lines.append(line)
                begun.set()
        return lines

    async def begin():
        begun = asyncio.Event()
        context.stream = asyncio.get_running_loop().create_task(read(begun))
        await begun.wait()

    context.tls.run(begin())


@then("the stream goes on to its whole end")
def stream_whole(context):
    async def end():
        return await context.stream

    assert not context.stream.done(), "it had ended before the change"
    lines = [line for line in context.tls.run(end()) if line]
    assert len(lines) == TOKENS + 1, len(lines)
    assert lines[-1] == "data: [DONE]"


@when("the files are replaced by {pair}")
def replace(context, pair):
    write(context, context.pairs[pair])


async def shown(address):
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port), ssl=trusting())
    found = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.close()
    return found


@then('new connections are shown the certificate "{name}" on both faces')
def are_shown(context, name):
    pem = context.pairs[f'the certificate "{name}"'][0].decode()
    expected = ssl.PEM_cert_to_DER_cert(pem)
    example = context.example

    async def wait():
        with anyio.fail_after(WAIT_S):
            for address in (example.callers(0), example.administration(0)):
                while await shown(address) != expected:
                    await anyio.sleep(0.02)

    context.tls.run(wait())


@when("the daemon gets a hang-up signal")
def hang_up(context):
    async def send():
        os.kill(os.getpid(), signal.SIGHUP)
        await anyio.sleep(0)

    context.tls.run(send())


@then("the time line tells of a failed reload")
def failed_reload(context):
    async def wait():
        url = f"https://{context.example.administration(0)}/v1/timeline"
        headers = {"authorization": f"Bearer {ADMINISTRATOR_KEY}"}
        async with httpx.AsyncClient(verify=trusting(), trust_env=False) as client:
            with anyio.fail_after(WAIT_S):
                while True:
                    found = await client.get(url, headers=headers)
                    if "tls.reload_failed" in found.text:
                        return
                    await anyio.sleep(0.02)

    context.tls.run(wait())


@when("a settings file names {files}")
def settings_name(context, files):
    prepare(context)
    pair = context.pairs.get(files, (None, context.pairs["an encrypted key"][1]))
    write(context, pair)
    named = {"certificate_file": pair[0], "key_file": pair[1]}
    if files == "a certificate that is not there":
        named["certificate_file"] = b"named"
    paths = {"certificate_file": context.certificate, "key_file": context.key}
    lines = [f"{key} = {paths[key]}" for key, data in named.items() if data is not None]
    text = Example(BASE_PORT).settings(0, "")
    context.settings = context.folder / "daemon.ini"
    context.settings.write_text(
        text.replace("[listen]\n", "[listen]\n" + "\n".join(lines) + "\n")
    )


@then('the fault names file, section and key "{key}"')
def fault_names(context, key):
    try:
        load_settings(context.settings)
    except CheckError as error:
        places = [(fault.file, fault.section, fault.key) for fault in error.faults]
        assert places == [(str(context.settings), "listen", key)], places
        return
    raise AssertionError("the settings were taken")
