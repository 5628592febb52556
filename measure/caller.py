"""Send requests as callers do and judge every answer."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
import msgspec

from measure.fleet import Fleet, get_caller_key
from measure.request_progress import RequestProgress
from ragworthollow.configuration import Deployment, Pipeline
from ragworthollow.configuration.checks import check_files
from ragworthollow.configuration.merge import SourceFile
from ragworthollow.utils import make_identifier

_BALANCER_POLL_S = 0.25
_GRACE_S = 3


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """
    Remember where and when a request was sent, and how that ended.

    Attributes
    ----------
    address : str
        Entry that it was sent to.
    started, ended : float
        Time on the monotonic clock, in seconds.
    outcome : str
        How it ended.
    connected_s, head_sent_s : float or None
        Time until there was a connection and until the head was written; None
        if that never happened.  They tell a process that does not respond from
        a caller that could not send.
    """

    address: str
    started: float
    ended: float
    outcome: str
    connected_s: float | None = None
    head_sent_s: float | None = None


@dataclass(kw_only=True)
class Sent:
    """Remember one request of a caller and every answer it got."""

    subject: str
    organisation: str
    pipeline: str
    key: str
    worth: float
    outcomes: list[str] = field(default_factory=list)
    reasons: list[str] = field(default_factory=list)
    answers: list[dict] = field(default_factory=list)
    is_crossed: bool = False
    is_cut: bool = False
    is_attained: bool = False
    elapsed_ms: float = 0
    attempts: list[Attempt] = field(default_factory=list)


class Balancer:
    """Send to entries that were ready when last asked, which is a while ago."""

    def __init__(self, *, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._ready = [one.address for one in fleet.entries]

    async def run(self) -> None:
        while True:
            await asyncio.sleep(_BALANCER_POLL_S)
            answers = await asyncio.gather(
                *(self._ask(one.address) for one in self._fleet.entries),
            )
            self._ready = [address for address in answers if address]

    def choose(self, avoid: str = '') -> str:
        all_entries = [one.address for one in self._fleet.entries]
        others = [one for one in self._ready if one != avoid]
        return self._rng.choice(others or self._ready or all_entries)

    async def _ask(self, address: str) -> str:
        try:
            async with asyncio.timeout(0.2):
                async with self._fleet.session.get(
                    f'http://{address}/readyz',
                ) as response:
                    return address if response.status == 200 else ''
        except (aiohttp.ClientError, TimeoutError):
            return ''


class Callers:
    """
    Send many requests and keep the books.

    Parameters
    ----------
    fleet : Fleet
        What to call.
    seed : int
        Makes the requests repeatable.
    """

    def __init__(self, *, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.balancer = Balancer(fleet=fleet, rng=self._rng)
        self.deployment = read_deployment(fleet)
        self.sent: list[Sent] = []
        self._choices = [
            (organisation, name)
            for name, pipeline in self.deployment.pipelines.items()
            for organisation in pipeline.organisations
        ]

    def make(self, pipeline: str = '') -> Sent:
        """Make the next request, not yet sent."""
        choices = [one for one in self._choices if pipeline in ('', one[1])]
        organisation, name = self._rng.choice(choices)
        declared = self.deployment.pipelines[name]
        owner = self.deployment.organisations[organisation]
        sent = Sent(
            subject=f'subject-{self._rng.getrandbits(48):012x}',
            organisation=organisation,
            pipeline=name,
            key=make_identifier() if declared.has_non_repeatable() else '',
            worth=owner.worth * declared.worth,
        )
        self.sent.append(sent)
        return sent

    async def send(
        self,
        sent: Sent,
        *,
        address: str = '',
        deadline_ms: float = 3000,
        stream: bool | None = None,
    ) -> str:
        """Send a request once; return the outcome of this attempt."""
        if stream is None:
            stream = self._rng.random() < 0.3
        started = time.monotonic()
        progress = RequestProgress(started=started)
        address = address or self.balancer.choose()
        try:
            async with asyncio.timeout(deadline_ms / 1000 + _GRACE_S):
                outcome = await self._post(
                    sent, address, deadline_ms, stream, progress
                )
        except aiohttp.ClientConnectorError:
            outcome = 'unreached'
        except (aiohttp.ClientError, TimeoutError, OSError):
            outcome = 'cut'
            sent.is_cut = True
        sent.outcomes.append(outcome)
        sent.attempts.append(
            Attempt(
                address=address,
                started=started,
                ended=time.monotonic(),
                outcome=outcome,
                connected_s=progress.connected_s,
                head_sent_s=progress.head_sent_s,
            ),
        )
        sent.elapsed_ms = (time.monotonic() - started) * 1000
        if outcome == 'done' and sent.elapsed_ms <= deadline_ms:
            sent.is_attained = True
        return outcome

    async def send_and_repeat(self, sent: Sent, attempts: int = 3) -> None:
        """Ask again with the same key while it is safe and may help."""
        for attempt in range(attempts):
            outcome = await self.send(sent)
            if outcome == 'done':
                return
            if not sent.key and outcome not in ('not_run', 'unreached'):
                return
            await asyncio.sleep(0.1 * (attempt + 1))

    async def _post(
        self,
        sent: Sent,
        address: str,
        deadline_ms: float,
        stream: bool,
        progress: RequestProgress,
    ) -> str:
        pipeline = self.deployment.pipelines[sent.pipeline]
        headers = {
            'Authorization': f'Bearer {get_caller_key(sent.organisation)}',
        }
        if sent.key:
            headers['Idempotency-Key'] = sent.key
        body = {
            'deadline_ms': deadline_ms,
            'inputs': {
                stage.name: {'subject': sent.subject}
                for stage in pipeline.stages
            },
            'stream': stream,
        }
        async with self._fleet.session.post(
            f'http://{address}/v1/pipelines/{sent.pipeline}',
            json=body,
            headers=headers,
            trace_request_ctx=progress,
        ) as response:
            if response.content_type == 'text/event-stream':
                answer = await _read_events(sent, response)
            else:
                answer = msgspec.json.decode(await response.read())
        if answer is None:
            sent.is_cut = True
            return 'cut'
        self._judge(sent, pipeline, answer)
        return answer['outcome']

    def _judge(self, sent: Sent, pipeline: Pipeline, answer: dict) -> None:
        if answer['outcome'] != 'done':
            sent.reasons.append(answer['refusal']['reason'])
            return
        outputs = answer['answer']
        sent.answers.append(outputs)
        for stage in pipeline.stages:
            output = outputs.get(stage.name, {})
            if stage.kind == 'generate':
                whole = ''.join(
                    f'{sent.subject}#{index} '
                    for index in range(stage.max_tokens)
                )
                is_own = output.get('text') == whole
            else:
                is_own = output.get('subject') == sent.subject
            if not is_own:
                sent.is_crossed = True


async def _read_events(sent: Sent, response: aiohttp.ClientResponse):
    """Read a stream to its closing event; None when that is missing."""
    event = ''
    offset = 0
    async for raw in response.content:
        line = raw.decode().strip()
        if line.startswith('event: '):
            event = line.removeprefix('event: ')
        elif line.startswith('data: '):
            message = msgspec.json.decode(line.removeprefix('data: '))
            if event in ('answer', 'refusal'):
                return message
            if message['offset'] != offset:
                sent.is_crossed = True
            offset += 1
            if message['token'] != f'{sent.subject}#{message["offset"]} ':
                sent.is_crossed = True
    return None


def read_deployment(fleet: Fleet) -> Deployment:
    folder = fleet.plan.folder / 'configuration'
    files = [
        SourceFile(name=path.name, text=path.read_text())
        for path in folder.glob('*.yaml')
    ]
    return check_files(files).deployment


async def summarise(fleet: Fleet, callers: Callers) -> dict:
    """Count what became of all requests, checked against the effects."""
    effects = Counter(
        (effect['subject'], effect['operation'])
        for effect in await fleet.get_effects()
    )
    once = {
        stage.operation
        for pipeline in callers.deployment.pipelines.values()
        for stage in pipeline.stages
        if not stage.repeatable
    }
    sent = callers.sent
    final = Counter(_get_final(one) for one in sent)
    worth = sum(one.worth for one in sent)
    subjects_run = {
        subject for (subject, operation) in effects if operation in once
    }
    return {
        'requests': len(sent),
        'answered': final['done'],
        'attained': sum(one.is_attained for one in sent),
        'refused': final['not_run'] + final['failed'],
        'unknown': final['unknown'],
        'lost': sum(
            one.key != ''
            and 'done' in one.outcomes
            and one.subject not in subjects_run
            for one in sent
        )
        + sum(not one.outcomes for one in sent),
        'doubled': sum(
            count > 1
            for (_, operation), count in effects.items()
            if operation in once
        ),
        'crossed': sum(one.is_crossed or _differs(one) for one in sent),
        'false_not_run': sum(
            one.key != ''
            and set(one.outcomes) <= {'not_run', 'unreached'}
            and one.subject in subjects_run
            for one in sent
        ),
        'cut': sum(one.is_cut for one in sent),
        'reasons': Counter(
            one.reasons[-1]
            for one in sent
            if 'done' not in one.outcomes and one.reasons
        ),
        'attainment': round(
            sum(one.worth for one in sent if one.is_attained) / worth,
            4,
        )
        if worth
        else 0,
    }


def _get_final(sent: Sent) -> str:
    """Return what the caller knows in the end."""
    for outcome in ('done', 'unknown', 'cut', 'failed'):
        if outcome in sent.outcomes:
            return 'unknown' if outcome == 'cut' else outcome
    return 'not_run'


def _differs(sent: Sent) -> bool:
    """Tell whether repeats of one key got different whole answers."""
    return sent.key != '' and any(
        answer != sent.answers[0] for answer in sent.answers
    )
