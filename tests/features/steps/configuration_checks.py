"""Steps of the checks of configuration."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from measure.fleet_plan import ROOT
from ragworthollow.configuration.checks import check_files
from ragworthollow.configuration.merge import SourceFile, merge_files
from ragworthollow.utils import hash_secret

_FILE_NAME = '50-further.yaml'
_PLAIN_STAGE = '{name: a, kind: plain, pool: gin-sync}'
_GENERATE_FIELDS = 'name: a, kind: generate, pool: ragworth-pool'


def _render_organisation(fields: str) -> str:
    return f'organisations: {{x: {{{fields}}}}}'


def _render_pipeline(
    stages: str, fields: str = 'organisations: [buyers]'
) -> str:
    return f'pipelines: {{x: {{{fields}, stages: [{stages}]}}}}'


_UNUSED_KEY = f'key_sha256: ["{hash_secret("free")}"]'
_USED_KEY = f'key_sha256: ["{hash_secret("demo-key-of-buyers")}"]'
_FILE_CONTENTS = {
    'text that is not YAML': 'a: [',
    'an unknown field': 'pols: {}',
    'a deadline that is a word': _render_pipeline(
        _PLAIN_STAGE, 'deadline_ms: soon'
    ),
    'no owner': '',
    "another owner's pool": 'pools: {gin-sync: {concurrency: 2}}',
    'a key that is no hash': _render_organisation('key_sha256: [secret]'),
    'a key that another organisation has': _render_organisation(_USED_KEY),
    'a guarantee above one': _render_organisation(
        f'{_UNUSED_KEY}, guarantee: 1.5'
    ),
    'guarantees of more than everything': _render_organisation(
        f'{_UNUSED_KEY}, guarantee: 0.9',
    ),
    'a pipeline of an unknown organisation': _render_pipeline(
        _PLAIN_STAGE,
        'organisations: [nobody]',
    ),
    'a pipeline without stages': _render_pipeline(''),
    'a worth of zero': _render_organisation(f'{_UNUSED_KEY}, worth: 0'),
    'a deadline of zero': _render_pipeline(
        _PLAIN_STAGE,
        'organisations: [buyers], deadline_ms: 0',
    ),
    'a stage of an unknown pool': _render_pipeline(
        '{name: a, kind: plain, pool: nowhere}',
    ),
    'an unknown adapter': _render_pipeline(
        f'{{{_GENERATE_FIELDS}, model: notes-3b, adapter: none}}',
    ),
    'two stages that are not repeatable': _render_pipeline(
        '{name: a, kind: plain, pool: gin-sync, repeatable: false},'
        '{name: b, kind: plain, pool: gin-sync, repeatable: false}',
    ),
    # A retry with the same idempotency key would get an answer that lacks the
    # last stage.
    'a stage behind one that is not repeatable': _render_pipeline(
        '{name: a, kind: plain, pool: gin-sync, repeatable: false},'
        '{name: b, kind: plain, pool: gin-sync}',
    ),
    'a model that its pool does not carry': (
        'models: {new: {version: "1"}}\n'
        f'{_render_pipeline(f"{{{_GENERATE_FIELDS}, model: new}}")}'
    ),
    'a pool of no concurrency': 'pools: {x: {concurrency: 0}}',
    'a pool of an unknown model': 'pools: {x: {models: [none]}}',
    'very many comments': '#'.ljust(40_000, '#'),
}


@given('the configuration of kingston')
def read_kingston(context):
    folder = ROOT / 'deployments' / 'kingston' / 'configuration'
    context.files = [
        SourceFile(name=path.name, text=path.read_text())
        for path in folder.glob('*.yaml')
    ]


@given('its first file allows {path} to be overridden')
def allow_override(context, path):
    context.files = [
        SourceFile(
            name=source.name,
            text=(
                f'{source.text}allow_override: [{path}]\n'
                if source.name.startswith('00')
                else source.text
            ),
        )
        for source in context.files
    ]


@given('a further file with {what}')
def add_file(context, what):
    owner = '' if what == 'no owner' else 'owner: newcomer\n'
    context.files.append(
        SourceFile(name=_FILE_NAME, text=f'{owner}{_FILE_CONTENTS[what]}\n'),
    )


@then('the checks report {check_id} with the name of the file')
def check_problem_reported(context, check_id):
    problems = check_files(context.files).problems
    matching = [problem for problem in problems if problem.check_id == check_id]
    assert matching, problems
    assert any(
        problem.where.startswith(_FILE_NAME) or check_id == 'config.E008'
        for problem in matching
    ), matching
    assert all(problem.text for problem in matching)


@then('the checks report nothing and the pool comes from the further file')
def check_overridden(context):
    merged = check_files(context.files)
    assert not merged.problems, merged.problems
    assert merged.origins['pools.gin-sync'] == _FILE_NAME
    assert merged.deployment.pools['gin-sync'].concurrency == 2


@when('any two files of one owner are merged in any order')
def merge_any(context):
    names = st.text('abc0123-', min_size=1, max_size=6)

    @for_all(st.lists(names, min_size=2, max_size=5, unique=True), st.randoms())
    @settings(derandomize=True, database=None, deadline=None)
    def check(chosen, rng):
        files = [
            SourceFile(
                name=name,
                text=f'owner: one\npools: {{p: {{concurrency: {number}}}}}\n',
            )
            for number, name in enumerate(chosen, 1)
        ]
        last = max(files, key=lambda source: source.name)
        rng.shuffle(files)
        merged = merge_files(files)
        assert not merged.problems
        assert merged.origins['pools.p'] == last.name
        context.checked = True

    check()


@then('the later name decides')
def check_merged(context):
    assert context.checked
