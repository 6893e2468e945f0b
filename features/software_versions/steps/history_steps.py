"""Random histories of streams that are taken up at other hosts."""

from behave import then

from knapweedbridge_standins.serving_histories import HISTORIES


@then('{count:d} random histories of "{mechanism}" break no promise')
def histories_break_nothing(context, count, mechanism):
    play = HISTORIES[mechanism]
    broken = {seed: what for seed in range(count) if (what := play(seed))}
    assert not broken, {seed: what[:3] for seed, what in broken.items()}
