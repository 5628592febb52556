"""Send requests whose prompts share parts with others."""

from measure.gateway_caller import GatewayCaller
from tests.fixtures.prompt_header import make_prompt_header

_TEMPLATES = ('c0de', 'c0ffee')
_DOCUMENTS = 10
_HARMFUL_PART = 'bad0'
_ENDING = '/crash'


class PromptCaller(GatewayCaller):
    """Ask for streams, each with one of a few templates and documents."""

    def _choose_pause_s(self) -> float:
        return self._rng.uniform(0, 0.1)

    def _choose_path(self) -> str:
        kind = self._rng.choice(('stream', 'resumable'))
        return f'/{kind}/{self._name}-{len(self.sent)}/paced?5'

    def _choose_headers(self) -> tuple[str, ...]:
        document = f'd{self._rng.randrange(_DOCUMENTS)}'
        parts = (self._rng.choice(_TEMPLATES), document, self._make_own_part())
        return (make_prompt_header(*parts),)

    def _make_own_part(self) -> str:
        return f'{self._name}{len(self.sent):x}'


class HarmfulPromptCaller(PromptCaller):
    """Send requests of which no two are alike, but for a harmful part."""

    def _choose_pause_s(self) -> float:
        return self._rng.uniform(0.2, 0.8)

    def _choose_path(self) -> str:
        kind = self._rng.choice(('stream', 'resumable'))
        return f'/{kind}/{self._name}-{len(self.sent)}{_ENDING}'

    def _choose_headers(self) -> tuple[str, ...]:
        return (
            make_prompt_header(
                _TEMPLATES[0], _HARMFUL_PART, self._make_own_part()
            ),
        )


def is_harmful(path: str) -> bool:
    """Return whether a request has the harmful part."""
    return path.endswith(_ENDING)
