"""Steps of configuration on a running fleet."""

import asyncio
import shutil
import signal
import time

from behave import given, then, when

from ragworthollow.configuration.change_request import ChangeRequest
from ragworthollow.utils import make_identifier
from ragworthollow.utils.hashing import get_rank
from tests.fixtures.load import start_load, stop_load

_OPERATOR_FILES = {
    'pikselis': '10-pikselis.yaml',
    'storefronts': '20-storefronts.yaml',
}
_TIMEOUT_S = 40


def _get_generation(context) -> int:
    stage = context.stage
    status = stage.run(stage.fleet.get_status('entry-0'))
    return status['generation']


def _pull(context, operator, name=''):
    folder = context.stage.fleet.folder / f'pulled-{operator}-{name}'
    shutil.rmtree(folder, ignore_errors=True)
    completed = context.stage.fleet.run_tool(
        operator,
        'pull',
        str(folder),
        '--owner',
        operator,
    )
    assert not completed.returncode, completed
    return folder


def _append_comment(folder, operator, comment):
    path = folder / _OPERATOR_FILES[operator]
    path.write_text(f'{path.read_text()}# {comment}\n')


def _apply(context, operator, folder, *options):
    return context.stage.fleet.run_tool(
        operator,
        'apply',
        str(folder),
        '--owner',
        operator,
        '--yes',
        *options,
    )


def _pull_and_apply(context, operator, comment):
    folder = _pull(context, operator)
    _append_comment(folder, operator, comment)
    return _apply(context, operator, folder)


def _wait_for_generation(context, min_generation, names=None):
    fleet = context.stage.fleet
    awaited = names or [instance.name for instance in fleet.plan.instances]

    async def wait():
        deadline = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < deadline:
            statuses = [await fleet.get_status(name) for name in awaited]
            if all(
                status and status['generation'] >= min_generation
                for status in statuses
            ):
                return [status['generation'] for status in statuses]
            await asyncio.sleep(0.1)
        return None

    generations = context.stage.run(wait())
    assert generations, 'a process stays behind'


@when('pikselis and storefronts apply a change at the same time')
def apply_concurrently(context):
    context.before = _get_generation(context)
    folders = {
        operator: _pull(context, operator) for operator in _OPERATOR_FILES
    }
    for operator, folder in folders.items():
        _append_comment(folder, operator, 'at once')

    async def apply_both():
        return await asyncio.gather(
            *(
                asyncio.to_thread(_apply, context, operator, folder)
                for operator, folder in folders.items()
            ),
        )

    context.completed = context.stage.run(apply_both())


@then('both are accepted and active in every process')
def check_both_active(context):
    assert not any(completed.returncode for completed in context.completed), (
        context.completed
    )
    _wait_for_generation(context, context.before + 2)


@when('two people of pikselis apply different changes of one file')
def apply_conflicting_changes(context):
    first = _pull(context, 'pikselis', 'first')
    second = _pull(context, 'pikselis', 'second')
    _append_comment(first, 'pikselis', 'first')
    _append_comment(second, 'pikselis', 'second')
    context.first = _apply(context, 'pikselis', first)
    context.completed = _apply(context, 'pikselis', second)


@then('the later one gets a conflict that names {operator}')
def check_conflict(context, operator):
    assert not context.first.returncode, context.first
    assert context.completed.returncode == 1, context.completed
    assert 'conflict' in context.completed.stderr, context.completed
    assert f'changed by {operator}' in context.completed.stderr, (
        context.completed
    )


@when('storefronts applies a change of the file of pikselis')
def change_file_of_other_owner(context):
    context.before = _get_generation(context)
    folder = _pull(context, 'pikselis')
    _append_comment(folder, 'pikselis', 'rival')
    context.completed = context.stage.fleet.run_tool(
        'storefronts',
        'apply',
        str(folder),
        '--owner',
        'pikselis',
        '--yes',
    )


@when('storefronts applies a file that sets the portal pool')
def override_pool(context):
    context.before = _get_generation(context)
    folder = _pull(context, 'storefronts')
    (folder / '90-override.yaml').write_text(
        'owner: storefronts\npools:\n  portal: {concurrency: 1}\n',
    )
    context.completed = _apply(context, 'storefronts', folder)


@then('it is refused and nothing changes')
def check_refused(context):
    assert context.completed.returncode, context.completed
    assert context.completed.stderr, context.completed
    assert 'Traceback' not in context.completed.stderr, context.completed.stderr
    assert _get_generation(context) == context.before


@then('it is refused with {check_id} and nothing changes')
def check_refused_with(context, check_id):
    check_refused(context)
    assert check_id in context.completed.stderr, context.completed.stderr


@when('the platform loses the answer to a change of pikselis')
def lose_answer_to_change(context):
    fleet = context.stage.fleet
    context.before = _get_generation(context)
    folder = _pull(context, 'pikselis')
    _append_comment(folder, 'pikselis', 'lost answer')
    context.stage.run(
        fleet.set_faults(fleet.plan.kv_port, lose_answer=1, left=3),
    )
    context.completed = [_apply(context, 'pikselis', folder)]
    context.stage.run(fleet.set_faults(fleet.plan.kv_port))


@then('the change is accepted once and active in every process')
def check_applied_once(context):
    assert not context.completed[0].returncode, context.completed
    _wait_for_generation(context, context.before + 1)
    assert _get_generation(context) == context.before + 1


@when('the platform goes down right after a change of pikselis')
def stop_platform_after_change(context):
    fleet = context.stage.fleet
    context.before = _get_generation(context)
    folder = _pull(context, 'pikselis')
    _append_comment(folder, 'pikselis', 'then down')

    async def set_fault_and_apply():
        # The platform answers the next write of the manifest and is then
        # unavailable.
        await fleet.set_faults(fleet.plan.kv_port, down_after_manifest=1)
        return await asyncio.to_thread(_apply, context, 'pikselis', folder)

    context.completed = [context.stage.run(set_fault_and_apply())]
    assert not context.completed[0].returncode, context.completed


@then('the change is active in every process')
def check_active_everywhere(context):
    _wait_for_generation(context, context.before + 1)


@when('a sidecar is killed and started during the outage')
def restart_sidecar(context):
    fleet = context.stage.fleet
    fleet.processes.send('capture-1', signal.SIGKILL)
    fleet.processes.wait('capture-1', 5)
    fleet.start_daemon('capture-1')


@given('the platform is available again')
def restore_platform(context):
    fleet = context.stage.fleet
    context.stage.run(fleet.set_faults(fleet.plan.kv_port))
    context.stage.run(fleet.wait_ready())


@when('all watchers of a failure domain but one are frozen during a change')
def freeze_watchers(context):
    fleet = context.stage.fleet
    context.before = _get_generation(context)
    domain = 'riga-c'
    members = [
        instance.name
        for instance in fleet.plan.instances
        if instance.failure_domain == domain and instance.kind != 'entry'
    ]
    members.sort(
        key=lambda name: get_rank(f'watch/{domain}', name),
        reverse=True,
    )
    context.frozen = members[:1]
    for name in context.frozen:
        fleet.processes.send(name, signal.SIGSTOP)
    completed = _pull_and_apply(context, 'pikselis', 'frozen watcher')
    assert not completed.returncode, completed


@then('the change is active in every process that runs')
def check_active_in_running(context):
    names = [
        instance.name
        for instance in context.stage.fleet.plan.instances
        if instance.name not in context.frozen
    ]
    _wait_for_generation(context, context.before + 1, names)


@given('all processes run')
def resume_processes(context):
    for name in context.frozen:
        context.stage.fleet.processes.send(name, signal.SIGCONT)
    context.stage.run(context.stage.fleet.wait_ready())


_INVALID_FILES = {
    'a file with an unknown field': b'owner: pikselis\npols: {}\n',
    'a file with a key written twice': b'owner: pikselis\nowner: pikselis\n',
    'a file with a cyclic alias': b'owner: pikselis\npools: &a {b: *a}\n',
    'a file that is too large': b'owner: pikselis\n'.ljust(1_000_100, b'#'),
    'a file that is not UTF-8': b'owner: pikselis\n# \xff\xfe\n',
    'a file without an owner': b'pools: {}\n',
    'a pipeline of an undeclared pool': (
        b'owner: pikselis\npipelines:\n  x:\n    organisations: []\n'
        b'    stages: [{name: a, kind: plain, pool: nowhere}]\n'
    ),
}


@when('an operator sends {what}')
def send_invalid_change(context, what):
    context.before = _get_generation(context)
    if what == 'a change with a wrong key':
        context.completed = context.stage.fleet.run_tool(
            'nobody',
            'history',
        )
        return
    folder = _pull(context, 'pikselis')
    content = _INVALID_FILES[what]
    (folder / '15-bad.yaml').write_bytes(content)
    context.completed = _apply(context, 'pikselis', folder)
    if len(content) < 1_000_000 and b'\xff' not in content:
        # The service has to refuse it, too, without the checks of the tool.
        result = context.stage.run(_post_change(context, content.decode()))
        assert not result['accepted'], result


async def _post_change(context, text):
    fleet = context.stage.fleet
    request = ChangeRequest(
        change_id=make_identifier(),
        base={},
        puts={'15-bad.yaml': text},
    )
    async with fleet.session.post(
        f'http://{fleet.entries[0].address}/v1/operator/changes',
        json={
            'change_id': request.change_id,
            'base': request.base,
            'puts': request.puts,
        },
        headers={
            'X-Ragworthollow-Operator-Key': 'demo-key-of-operator-pikselis',
        },
    ) as response:
        return {'accepted': False, **(await response.json())}


@given('a steady load of requests')
def start_steady_load(context):
    start_load(context)


@when('consortium changes the version of a model')
def change_model_version(context):
    folder = _pull(context, 'consortium')
    path = folder / '00-consortium.yaml'
    path.write_text(path.read_text().replace('"2026.11"', '"2027.01"'))
    completed = _apply(context, 'consortium', folder)
    assert not completed.returncode, completed


@then('every engine has loaded the new version')
def check_engine_versions(context):
    fleet = context.stage.fleet

    async def wait():
        deadline = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < deadline:
            engines = [
                await fleet.get_json(engine.upstream_port, '/v1/models')
                for engine in fleet.plan.get_pool('lm-pool')
            ]
            versions = {engine['models'].get('vision-7b') for engine in engines}
            if versions == {'2027.01'}:
                return True
            await asyncio.sleep(0.2)
        return False

    assert context.stage.run(wait())


@then('every request was answered')
def check_all_answered(context):
    sent = stop_load(context)
    unanswered = [request for request in sent if 'done' not in request.outcomes]
    assert not unanswered, unanswered


@when('the history is shown')
def show_history(context):
    context.completed = context.stage.fleet.run_tool('consortium', 'history')


@then('it names {operator} and its files')
def check_history(context, operator):
    lines = context.completed.stdout.splitlines()
    assert any(
        operator in line and _OPERATOR_FILES[operator] in line for line in lines
    ), lines
