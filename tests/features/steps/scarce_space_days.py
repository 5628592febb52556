"""Define steps for simulated days on which space for results is scarce."""

from behave import then, when

from measure.fleet_model.experiment import Trial, play_records, read_load
from measure.fleet_model.outcome import is_within_objective, sum_attained
from measure.fleet_model.patterns import DAY_DURATION_MS, make_patterns

_SCARCE_LOAD = 'calendar'
_SEEDS = (1, 2)
_BACK_TO_NORMAL_MS = 3_000


def _play(pattern: str, *, is_scarce: bool) -> list:
    sheet = read_load(_SCARCE_LOAD)
    assert sheet.scarce_result_space
    return [
        play_records(
            Trial(
                load=_SCARCE_LOAD,
                pattern=pattern,
                seed=seed,
                saves_space=is_scarce,
            )
        )
        for seed in _SEEDS
    ]


def _count_in_time(days, kind: str) -> float:
    records = [
        record
        for day in days
        for record in day.records
        if record.arrival.kind == kind
    ]
    in_time = [is_within_objective(days[0].sheet, record) for record in records]
    return sum(in_time) / len(in_time)


@when(
    'the model simulates the loss of an instance of {pool:S} '
    'where space is scarce'
)
def play_scarce_loss(context, pool):
    context.saving = _play(f'lost-{pool}', is_scarce=True)
    context.keeping = _play(f'lost-{pool}', is_scarce=False)


@then('more of the worth is attained than without saving space')
def check_more_attained(context):
    saving, keeping = (
        [sum_attained(day.sheet, day.records) for day in days]
        for days in (context.saving, context.keeping)
    )
    assert sum(saving) > sum(keeping), (saving, keeping)


@then(
    'no kind is in time less often than a less urgent one that needs no other '
    'pool'
)
def check_kind_order(context):
    chat = _count_in_time(context.saving, 'resident-chat')
    digest = _count_in_time(context.saving, 'complaint-digest')
    assert chat >= digest, (chat, digest)


@when('the model simulates bursts where space is scarce')
def play_scarce_bursts(context):
    context.saving = _play('bursts', is_scarce=True)


@then('from 3 s after each burst on nine tenths are in time')
def check_back_to_normal(context):
    sheet = context.saving[0].sheet
    bursts = make_patterns(sheet)['bursts'].bursts
    starts_ms = [burst.start_ms for burst in bursts[1:]] + [DAY_DURATION_MS]
    for burst, next_ms in zip(bursts, starts_ms, strict=True):
        records = [
            record
            for day in context.saving
            for record in day.records
            if burst.end_ms + _BACK_TO_NORMAL_MS
            <= record.arrival.at_ms
            < next_ms
        ]
        in_time = sum(is_within_objective(sheet, record) for record in records)
        assert in_time >= 0.9 * len(records), (burst, in_time, len(records))
