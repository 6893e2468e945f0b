import os

from knapweedbridge_standins.embedded import EmbeddedPlatform, EmbeddedRunner
from knapweedbridge_standins.example import Example
from knapweedbridge_standins.silent_proxy import SilentProxy

BASE_PORT = 23100
# Each run has its own address, so that several may run at once.
IP = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.2"
PROXY = f"{IP}:{BASE_PORT + 90}"
PROXY_CONFIGURATION = f"[endpoint draft-0]\naddress = {PROXY}\n"
SETTINGS = """
[requests]
connect_timeout_s = 1
first_token_timeout_s = 2
token_gap_timeout_s = 0.5
connection_idle_s = 30
"""


def make_platform():
    return EmbeddedPlatform(
        Example(BASE_PORT, daemons=1, engines=1, slots=4, ip=IP),
        extra_files={"90-proxy.ini": PROXY_CONFIGURATION},
        extra_settings=SETTINGS,
    )


class Shared:
    """The platform and its proxy, started on first use."""

    def __init__(self):
        self.runner = None
        self.proxy = None

    def start(self):
        if self.runner is None:
            example = Example(BASE_PORT, daemons=1, engines=1, ip=IP)
            self.proxy = SilentProxy(PROXY, example.engine(0))
            self.runner = EmbeddedRunner(make_platform).__enter__()
            self.runner.run(self.proxy.start())
        return self

    def stop(self):
        if self.runner is not None:
            self.runner.run(self.proxy.stop())
            self.runner.__exit__()


def before_all(context):
    context.shared = Shared()


def after_all(context):
    context.shared.stop()
