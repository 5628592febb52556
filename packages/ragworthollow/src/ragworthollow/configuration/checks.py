"""Check the merged configuration for consistency."""

from collections.abc import Callable, Iterator

from ragworthollow.checks.check_message import CheckMessage, Severity
from ragworthollow.conf import global_settings
from ragworthollow.configuration.merge import (
    FileParser,
    MergeResult,
    SourceFile,
    merge_files,
)
from ragworthollow.configuration.pipeline import Pipeline
from ragworthollow.configuration.stage import Stage, StageKind

_SHA256_LENGTH = 64
_HEXADECIMAL = frozenset('0123456789abcdef')

Check = Callable[[MergeResult], Iterator[CheckMessage]]


def check_files(
    files: list[SourceFile],
    parse: FileParser | None = None,
) -> MergeResult:
    """
    Merge the files and run every check on the result.

    Parameters
    ----------
    files : list of SourceFile
        All configuration files.
    parse : callable or None
        Parses one file, possibly from a cache; `parse_file` by default.

    Returns
    -------
    MergeResult
        Result of the merge, with the findings of the checks added to its
        problems.
    """
    merged = merge_files(files, parse)
    problems = list(merged.problems)
    for check in _CHECKS:
        problems.extend(check(merged))
    problems.extend(_check_file_sizes(files))
    return MergeResult(
        deployment=merged.deployment,
        origins=merged.origins,
        owners=merged.owners,
        problems=tuple(problems),
    )


def _check_file_sizes(files: list[SourceFile]) -> Iterator[CheckMessage]:
    for source in files:
        if len(source.text) > global_settings.LARGE_FILE_WARNING_BYTES:
            yield CheckMessage(
                check_id='config.W001',
                text=f'{len(source.text)} characters are sent to every'
                ' process on each change of this file',
                hint='split it, one file for each team or product',
                where=source.name,
                severity=Severity.warning,
            )


def _check_organisations(merged: MergeResult) -> Iterator[CheckMessage]:
    organisations_by_hash: dict[str, str] = {}
    for name, organisation in merged.deployment.organisations.items():
        where = _locate(merged, f'organisations.{name}')
        for key_hash in organisation.key_sha256:
            yield from _check_key_hash(
                key_hash, organisations_by_hash.get(key_hash), where
            )
            organisations_by_hash[key_hash] = name
        shares = (organisation.guarantee, organisation.ceiling)
        if not all(0 <= share <= 1 for share in shares):
            yield CheckMessage(
                check_id='config.E007',
                text='guarantee and ceiling are shares from 0 to 1',
                hint='write 0.2 for a fifth of every pool',
                where=where,
            )
        if min(organisation.weight, organisation.worth) <= 0:
            yield CheckMessage(
                check_id='config.E011',
                text='weight and worth must be above 0',
                hint='leave the field out for the default of 1',
                where=where,
            )


def _check_key_hash(
    key_hash: str,
    other_organisation: str | None,
    where: str,
) -> Iterator[CheckMessage]:
    if len(key_hash) != _SHA256_LENGTH or set(key_hash) - _HEXADECIMAL:
        yield CheckMessage(
            check_id='config.E005',
            text='key_sha256 contains a value that is not a SHA-256 hash',
            hint='run "ragworthctl hash-key" on the key',
            where=where,
        )
    elif other_organisation is not None:
        yield CheckMessage(
            check_id='config.E006',
            text='the same key is also declared for organisation'
            f' {other_organisation}',
            hint='every organisation needs a key of its own',
            where=where,
        )


def _check_guarantees(merged: MergeResult) -> Iterator[CheckMessage]:
    organisations = merged.deployment.organisations
    total = sum(
        organisation.guarantee for organisation in organisations.values()
    )
    if total > 1 + 1e-9:
        yield CheckMessage(
            check_id='config.E008',
            text=f'the sum of all guarantees is {total:.3f} of every pool',
            hint='lower some until the sum is at most 1',
            where='organisations',
        )


def _check_pipelines(merged: MergeResult) -> Iterator[CheckMessage]:
    for name, pipeline in merged.deployment.pipelines.items():
        where = _locate(merged, f'pipelines.{name}')
        for organisation in pipeline.organisations:
            if organisation not in merged.deployment.organisations:
                yield CheckMessage(
                    check_id='config.E009',
                    text=f'organisation {organisation} is not declared',
                    hint='declare it under organisations, or remove it',
                    where=where,
                )
        yield from _check_pipeline_limits(pipeline, where)
        yield from _check_stage_order(pipeline, where)
        for stage in pipeline.stages:
            yield from _check_stage(merged, stage, where)


def _check_pipeline_limits(
    pipeline: Pipeline, where: str
) -> Iterator[CheckMessage]:
    names = [stage.name for stage in pipeline.stages]
    if not names or len(set(names)) != len(names):
        yield CheckMessage(
            check_id='config.E010',
            text='a pipeline needs at least one stage, with unique names',
            where=where,
        )
    if not 0 < pipeline.deadline_ms <= global_settings.MAX_DEADLINE_MS:
        yield CheckMessage(
            check_id='config.E012',
            text=f'deadline_ms {pipeline.deadline_ms} is out of range',
            hint=f'1 to {global_settings.MAX_DEADLINE_MS} milliseconds',
            where=where,
        )
    if sum(not stage.repeatable for stage in pipeline.stages) > 1:
        yield CheckMessage(
            check_id='config.E015',
            text='a pipeline has at most one stage that is not repeatable',
            hint='an idempotency key protects a single effect: split the'
            ' pipeline',
            where=where,
        )


def _check_stage_order(
    pipeline: Pipeline, where: str
) -> Iterator[CheckMessage]:
    if any(not stage.repeatable for stage in pipeline.stages[:-1]):
        yield CheckMessage(
            check_id='config.E019',
            text='a stage that is not repeatable must be the last one',
            hint='its record stores the full response for a retry: move the'
            ' later stages before it, or into a separate pipeline',
            where=where,
        )


def _check_stage(
    merged: MergeResult,
    stage: Stage,
    where: str,
) -> Iterator[CheckMessage]:
    stage_path = f'{where}.{stage.name}'
    pool = merged.deployment.pools.get(stage.pool)
    if pool is None:
        yield CheckMessage(
            check_id='config.E013',
            text=f'pool {stage.pool} is not declared',
            hint='declare it under pools',
            where=stage_path,
        )
    if stage.kind is not StageKind.generate:
        return
    model = merged.deployment.models.get(stage.model)
    if model is None or (stage.adapter and stage.adapter not in model.adapters):
        yield CheckMessage(
            check_id='config.E014',
            text=f'model {stage.model!r} with adapter {stage.adapter!r}'
            ' is not declared',
            hint='declare the model and its adapters under models',
            where=stage_path,
        )
    elif pool is not None and stage.model not in pool.models:
        yield CheckMessage(
            check_id='config.E016',
            text=f'pool {stage.pool} does not serve model {stage.model}',
            hint='add the model to the models of the pool',
            where=stage_path,
        )


def _check_pools(merged: MergeResult) -> Iterator[CheckMessage]:
    for name, pool in merged.deployment.pools.items():
        where = _locate(merged, f'pools.{name}')
        if pool.concurrency < 1 or pool.queue_limit < 1:
            yield CheckMessage(
                check_id='config.E017',
                text='concurrency and queue_limit must be at least 1',
                where=where,
            )
        for model in pool.models:
            if model not in merged.deployment.models:
                yield CheckMessage(
                    check_id='config.E018',
                    text=f'model {model} is not declared',
                    hint='declare it under models',
                    where=where,
                )


def _locate(merged: MergeResult, path: str) -> str:
    return f'{merged.origins.get(path, "")}:{path}'


_CHECKS: tuple[Check, ...] = (
    _check_organisations,
    _check_guarantees,
    _check_pipelines,
    _check_pools,
)
