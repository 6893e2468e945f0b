import re
import socket
import subprocess
import sys
from pathlib import Path

from behave import given, then

from knapweedbridge_standins.example import PORT_STEP, Example, find_free_example

ROOT = Path(__file__).parents[3]
BASE_PORT = 26600

sys.path.insert(0, str(ROOT / "bench"))


@then("the tables of the capacity page are those of bench/results")
def tables_agree(context):
    command = [sys.executable, "bench/capacity.py", "--check"]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert ended.returncode == 0, ended.stderr or "run make capacity"


@then('{value:g} against a limit of {limit:g} reads "{verdict}"')
def reads(context, value, limit, verdict):
    import capacity

    assert capacity.verdict(value, limit) == verdict


@then('each scenario named for "{area}" on the page of proofs exists')
def scenarios_exist(context, area):
    page = (ROOT / "docs" / "proofs.md").read_text()
    named = re.findall(rf"`{area}`: ([^|;`]+)", page)
    features = (ROOT / "features" / area).glob("*.feature")
    text = "\n".join(path.read_text() for path in features)
    missing = [name for name in named if f": {name.strip()}\n" not in text]
    assert named and not missing, missing


@given("a port of the first block is taken")
def port_taken(context):
    taken = socket.socket()
    context.add_cleanup(taken.close)
    ip, _, port = Example(BASE_PORT).key_value.rpartition(":")
    taken.bind((ip, int(port)))
    taken.listen()


@then("the example is found on the second block")
def second_block(context):
    assert find_free_example(BASE_PORT, daemons=1).base_port == BASE_PORT + PORT_STEP


@then("a deployment on the first block names the port and starts nothing")
def starts_nothing(context):
    from deployment import Deployment

    deployment = Deployment(Example(BASE_PORT))
    try:
        deployment.__enter__()
    except RuntimeError as error:
        assert Example(BASE_PORT).key_value in str(error), error
        assert not deployment.processes
    else:
        deployment.__exit__()
        raise AssertionError("it started beside another process")
