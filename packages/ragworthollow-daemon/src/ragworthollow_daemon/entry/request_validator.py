"""Validate callers' requests before any stage runs."""

from collections.abc import Mapping

import msgspec
import xxhash
from aiohttp import web
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.configuration import Pipeline
from ragworthollow.configuration.store import ConfigurationStore
from ragworthollow.outcomes import Outcome, Reason, Refusal
from ragworthollow.transport import OnceKey
from ragworthollow.utils import (
    decode_json,
    get_creation_ms,
    get_monotonic_ms,
    get_wall_ms,
    hash_secret,
    make_identifier,
)
from ragworthollow_daemon.entry.admitted_request import AdmittedRequest
from ragworthollow_daemon.entry.messages import PipelineRequest

_STEP = 'door'
_BEARER_PREFIX = 'Bearer '
_NOT_CONFIGURED_RETRY_MS = 1000

_ValidationResult = Result[AdmittedRequest, Refusal]


class RequestValidator:
    """
    Validate HTTP requests and convert them to admitted requests.

    Parameters
    ----------
    instance : str
        Name of this entry, reported as the peer of every refusal.
    store : ConfigurationStore
        Active configuration.
    """

    def __init__(self, *, instance: str, store: ConfigurationStore) -> None:
        self._instance = instance
        self._store = store

    async def admit(self, request: web.Request) -> _ValidationResult:
        """
        Validate one request.

        Parameters
        ----------
        request : Request
            HTTP request as received.

        Returns
        -------
        Result
            The admitted request, or a refusal. Its outcome is `not_run`,
            or `unknown` for a key too old to tell whether it has run.
        """
        if not self._store.generation:
            return self._refuse(
                Reason.not_configured,
                'this entry has no configuration yet',
                retry_after_ms=_NOT_CONFIGURED_RETRY_MS,
            )
        organisation = self._authenticate(request.headers)
        if organisation is None:
            return self._refuse(
                Reason.unauthorized,
                'send a known key as "Authorization: Bearer KEY"',
            )
        name = request.match_info['pipeline']
        pipeline = self._store.deployment.pipelines.get(name)
        if pipeline is None or organisation not in pipeline.organisations:
            # Both cases get the same message, so that a caller cannot find
            # out which pipelines other organisations have.
            return self._refuse(
                Reason.unknown_pipeline,
                'no such pipeline for this key',
            )
        parsed = await self._parse(request)
        if isinstance(parsed, Err):
            return parsed
        body = parsed.ok_value
        refusal = self._check_deadline(body.deadline_ms, pipeline)
        if refusal is not None:
            return Err(refusal)
        return self._make_once_key(request.headers, body, pipeline).map(
            lambda once: self._make_admitted_request(
                organisation,
                name,
                pipeline,
                body,
                once,
            ),
        )

    def _authenticate(self, headers: Mapping[str, str]) -> str | None:
        presented = headers.get('Authorization', '')
        if not presented.startswith(_BEARER_PREFIX):
            return None
        secret = presented.removeprefix(_BEARER_PREFIX)
        return self._store.get_organisation(hash_secret(secret))

    async def _parse(
        self,
        request: web.Request,
    ) -> Result[PipelineRequest, Refusal]:
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return self._refuse(
                Reason.body_too_large,
                f'at most {global_settings.MAX_BODY_BYTES} bytes',
            )
        try:
            return Ok(decode_json(body, PipelineRequest))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return self._refuse(Reason.bad_request, str(error))

    def _check_deadline(
        self,
        deadline_ms: float,
        pipeline: Pipeline,
    ) -> Refusal | None:
        if deadline_ms <= 0:
            return self._make_refusal(
                Reason.deadline_exceeded,
                'deadline_ms is already over',
            )
        if not deadline_ms <= pipeline.deadline_ms:
            return self._make_refusal(
                Reason.bad_deadline,
                f'at most {pipeline.deadline_ms} ms for this pipeline',
            )
        return None

    def _make_once_key(
        self,
        headers: Mapping[str, str],
        body: PipelineRequest,
        pipeline: Pipeline,
    ) -> Result[OnceKey | None, Refusal]:
        chosen = headers.get('Idempotency-Key')
        if chosen is not None:
            refusal = self._check_idempotency_key(chosen)
            if refusal is not None:
                return Err(refusal)
        if not pipeline.has_non_repeatable():
            return Ok(None)
        key = chosen or make_identifier()
        return Ok(
            OnceKey(
                key=key.lower(),
                born_ms=get_creation_ms(key) or 0,
                fresh=chosen is None,
                fingerprint=_hash_inputs(body),
            ),
        )

    def _check_idempotency_key(self, key: str) -> Refusal | None:
        born_ms = get_creation_ms(key)
        if born_ms is None:
            return self._make_refusal(
                Reason.bad_idempotency_key,
                'Idempotency-Key must be a UUID of version 7',
            )
        age_ms = get_wall_ms() - born_ms
        if age_ms > global_settings.KEY_MAX_AGE_MS:
            return self._make_refusal(
                Reason.bad_idempotency_key,
                'Idempotency-Key is too old to tell whether it has run',
                outcome=Outcome.unknown,
            )
        if age_ms < -global_settings.KEY_FUTURE_MARGIN_MS:
            return self._make_refusal(
                Reason.bad_idempotency_key,
                'Idempotency-Key comes from the future: set your clock',
                retry_after_ms=int(-age_ms),
            )
        return None

    def _make_admitted_request(
        self,
        organisation: str,
        name: str,
        pipeline: Pipeline,
        body: PipelineRequest,
        once: OnceKey | None,
    ) -> AdmittedRequest:
        if once is not None:
            # The prefix keeps keys of different organisations and pipelines
            # from colliding.
            once = msgspec.structs.replace(
                once,
                key=f'{organisation}/{name}/{once.key}',
            )
        organisation_config = self._store.deployment.organisations[organisation]
        return AdmittedRequest(
            request_id=make_identifier(),
            organisation=organisation,
            pipeline_name=name,
            pipeline=pipeline,
            deadline_ms=get_monotonic_ms() + body.deadline_ms,
            inputs=body.inputs,
            worth=organisation_config.worth * pipeline.worth,
            once=once,
            is_stream=body.stream,
        )

    def _refuse(
        self,
        reason: Reason,
        detail: str,
        *,
        retry_after_ms: int | None = None,
    ) -> Err[Refusal]:
        return Err(
            self._make_refusal(reason, detail, retry_after_ms=retry_after_ms),
        )

    def _make_refusal(
        self,
        reason: Reason,
        detail: str,
        *,
        outcome: Outcome = Outcome.not_run,
        retry_after_ms: int | None = None,
    ) -> Refusal:
        return Refusal(
            outcome=outcome,
            reason=reason,
            step=_STEP,
            peer=self._instance,
            detail=detail,
            retry_after_ms=retry_after_ms,
        )


def _hash_inputs(body: PipelineRequest) -> str:
    """Hash the inputs to detect a key reused for another request."""
    digest = xxhash.xxh64()
    for name, stage_input in sorted(body.inputs.items()):
        digest.update(name.encode())
        digest.update(bytes(stage_input))
    return digest.hexdigest()
