"""Behave steps that check entries of the log."""

from behave import then


@then('the log says that it waited for the instance that had its request')
def check_abandoned_request_logged(context):
    stage = context.gateway_stage
    (upstream,) = [
        name
        for name, instance in stage.upstreams.items()
        if instance.count_runs('leaver')
    ]
    stage.run(stage.wait_for(lambda: _find_abandoned_requests(context)))
    (fields,) = _find_abandoned_requests(context)
    assert fields['step'] == 'forward', fields
    assert fields['peer'] == upstream, fields
    assert not fields['is_started'], fields


def _find_abandoned_requests(context) -> list[dict]:
    return [
        fields
        for event, fields in context.log_lines
        if event == 'request_abandoned'
    ]
