from behave import given, then, when

from knapweedbridge_daemon.api_bodies import MAX_BODY_BYTES


@given("the example folder is in force")
def example_in_force(context):
    context.platform.start()
    context.platform.put_in_force(context.platform.example.folder())
    context.before = context.platform.generation()


@when("{method} {path} is sent with body {body}")
def send(context, method, path, body):
    content = None if body == "none" else body
    context.answer = context.platform.administration(method, path, content=content)


@when('{path} is asked with key "{key}"')
def ask_with_key(context, path, key):
    context.answer = context.platform.administration("GET", path, key=key)


@when("a body over the limit is sent")
def send_too_much(context):
    context.answer = context.platform.administration(
        "POST", "/v1/check", content=b" " * (MAX_BODY_BYTES + 1)
    )


@then('the answer is {status:d} with code "{code}" and a message holding "{text}"')
def answered(context, status, code, text):
    assert context.answer.status_code == status, context.answer.text
    error = context.answer.json()["error"]
    assert error["code"] == code, error
    assert text in error["message"], error
