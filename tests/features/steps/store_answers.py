"""Steps for answers of the store that are broken off."""

from behave import given, then, when


@given('the store cuts its answers')
def cut_answers(context):
    context.gateway_stage.store.faults.active = {'cut': 1}


@when('{count:d} more reads of the store were cut')
def wait_for_reads(context, count):
    stage = context.gateway_stage
    stage.run(stage.wait_for_reads(count))


@when('the store answers as usual')
def clear_faults(context):
    context.gateway_stage.store.faults.active = {}


@then('no task of the gateway has failed')
def check_tasks(context):
    failed = [
        fields for event, fields in context.log_lines if event == 'task_failed'
    ]
    assert not failed, failed
