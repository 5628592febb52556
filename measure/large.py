"""Make a configuration and an instance list of any size."""

from dataclasses import dataclass

from ragworthollow.utils import hash_secret

_POOLS = ('encoder-pool', 'retriever-pool', 'reranker-pool', 'ledger-api')
_ORGANISATIONS_PER_FILE = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """Give the numbers that memory and messages may depend on."""

    organisations: int = 1100
    pipelines: int = 39
    models: int = 23
    instances: int = 670
    entries: int = 410


def make_files(size: Size) -> dict[str, str]:
    """Return configuration files by name, all of one owner."""
    files = {'00-shared.yaml': _make_shared(size)}
    for start in range(0, size.organisations, _ORGANISATIONS_PER_FILE):
        stop = min(start + _ORGANISATIONS_PER_FILE, size.organisations)
        lines = ['owner: consortium', 'organisations:']
        lines.extend(_make_organisation(one) for one in range(start, stop))
        files[f'10-organisations-{start:05d}.yaml'] = _join(lines)
    for number in range(size.pipelines):
        files[f'20-pipeline-{number:03d}.yaml'] = _make_pipeline(number, size)
    return files


def _join(lines: list[str]) -> str:
    return '\n'.join([*lines, ''])


def _make_shared(size: Size) -> str:
    names = [f'model-{number:02d}' for number in range(size.models)]
    lines = ['owner: consortium', 'pools:']
    lines.append(f'  lm-pool: {{engine: true, models: [{", ".join(names)}]}}')
    lines.extend(f'  {pool}: {{concurrency: 16}}' for pool in _POOLS)
    lines.append('models:')
    lines.extend(f'  {name}: {{version: "1", replicas: 30}}' for name in names)
    return _join(lines)


def _make_organisation(number: int) -> str:
    name = f'organisation-{number:04d}'
    return (
        f'  {name}: {{key_sha256: [{hash_secret(name)}],'
        ' guarantee: 0.0005, weight: 1, worth: 1}'
    )


def _make_pipeline(number: int, size: Size) -> str:
    chosen = [
        f'organisation-{one:04d}'
        for one in range(size.organisations)
        if one % 13 == number % 13
    ]
    stages = [
        '{name: encode, kind: encode, pool: encoder-pool}',
        '{name: retrieve, kind: retrieve, pool: retriever-pool}',
        '{name: rerank, kind: rerank, pool: reranker-pool}',
        '{name: draft, kind: generate, pool: lm-pool,'
        f' model: model-{number % size.models:02d}}}',
        '{name: record, kind: plain, pool: ledger-api, operation: record,'
        f' repeatable: {"false" if number % 3 == 0 else "true"}}}',
    ]
    lines = ['owner: consortium', 'pipelines:', f'  pipeline-{number:03d}:']
    lines.append(f'    organisations: [{", ".join(chosen)}]')
    lines.append('    stages:')
    lines.extend(f'      - {stage}' for stage in stages)
    return _join(lines)


def make_instances(size: Size, address: str = '127.0.0.1:9') -> list[dict]:
    """Return instances as the platform lists them, over six domains."""
    pools = ('lm-pool', 'lm-pool', 'lm-pool', *_POOLS)
    listed = [
        {
            'instance': f'{pools[number % len(pools)]}-{number:04d}',
            'pool': pools[number % len(pools)],
            'failure_domain': f'domain-{number % 6}',
            'address': address,
            'state': 'live',
        }
        for number in range(size.instances)
    ]
    listed.extend(
        {
            'instance': f'entry-{number:04d}',
            'pool': 'entry',
            'failure_domain': f'domain-{number % 6}',
            'address': address,
            'state': 'live',
        }
        for number in range(size.entries)
    )
    return listed
