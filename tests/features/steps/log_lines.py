"""Steps of what the log says."""

from behave import then


@then('the log says that it waited for the instance that had its request')
def check_abandoned(context):
    stage = context.gateway_stage
    (upstream,) = [
        name
        for name, one in stage.upstreams.items()
        if one.count_runs('leaver')
    ]
    stage.run(stage.wait_for(lambda: _find_abandoned(context)))
    (fields,) = _find_abandoned(context)
    assert fields['step'] == 'forward', fields
    assert fields['peer'] == upstream, fields
    assert not fields['is_started'], fields


def _find_abandoned(context) -> list[dict]:
    return [
        fields
        for event, fields in context.log_lines
        if event == 'request_abandoned'
    ]
