from behave import given, then, when

from knapweedbridge_core.serving import StoreAge, SubscriberMarks


def moments_of(text):
    return [float(each) for each in text.split(",") if each.strip()]


@given(
    "a relay whose hearer h marks 3.0 and 3.4 of its clock, which come at 7.0 and 7.4"
)
def marked_twice(context):
    context.marks = SubscriberMarks()
    context.marks.record_mark("h", 3.0, 7.0)
    context.marks.record_mark("h", 3.4, 7.4)


@when("calls to the store that began at {began} are answered")
def store_answers(context, began):
    for moment_s in moments_of(began):
        context.marks.answered(moment_s)


@when("only daemon g hears it, and a call to the store that began at 8.0 is answered")
def hearer_gone(context):
    context.marks.retain({"g"})
    context.marks.answered(8.0)


@then("the hearer is given back {mark_s:g}")
def given_back(context, mark_s):
    assert context.marks.covered_s("h") == mark_s


@given("a daemon that has proved what it knows at {moments}")
def proved_at(context, moments):
    context.age = StoreAge()
    for moment_s in moments_of(moments):
        context.age.confirm(moment_s)


@given("a daemon that has proved what it knows at ")
def proved_nothing(context):
    context.age = StoreAge()


@then("its knowledge is {age_s} s old at 12.0")
def knowledge_is(context, age_s):
    assert context.age.age_s(12.0) == float(age_s)
