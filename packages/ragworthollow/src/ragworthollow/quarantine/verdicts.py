"""Decide which requests and prompt parts crash instances."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from ragworthollow.quarantine.crash_record import CrashRecord
from ragworthollow.quarantine.quarantine_limits import QuarantineLimits
from ragworthollow.quarantine.suspect import Suspect
from ragworthollow.quarantine.verdict import Verdict

# Number of different requests from which a crash is attributed to a part that
# they share.
_LEAST_REQUESTS = 2


def find_verdicts(
    records: Mapping[str, CrashRecord],
    limits: QuarantineLimits,
) -> dict[str, Verdict]:
    """
    Return what is quarantined, including what has been released since.

    A crash has one cause, but all that was running has the evidence of it.
    Prompt parts that have never succeeded are therefore judged first, then
    requests, then the parts that have succeeded, such as templates.  Crashes
    that something judged earlier explains do not count.

    Parameters
    ----------
    records : mapping of str to CrashRecord
        Evidence by fingerprint.
    limits : QuarantineLimits
        Numbers of crashes and durations.

    Returns
    -------
    dict of str to Verdict
        Verdicts by the fingerprint of the request or the part.
    """
    least_crashes = min(limits.crashes, limits.part_crashes)
    recorded = [
        Suspect.make(fingerprint, record, limits)
        for fingerprint, record in records.items()
        if len(record.crashes) >= least_crashes
    ]
    suspects = [
        suspect
        for suspect in recorded
        if len(suspect.crashes) >= suspect.crash_limit
    ]
    unproven = [
        suspect
        for suspect in suspects
        if suspect.is_part and not suspect.has_succeeded
    ]
    requests = [suspect for suspect in suspects if not suspect.is_part]
    proven = [
        suspect
        for suspect in suspects
        if suspect.is_part and suspect.has_succeeded
    ]
    blamed = _choose_parts(unproven, requests)
    blamed += _list_unexplained(requests, blamed)
    blamed += _list_unexplained(proven, blamed)
    return {
        suspect.fingerprint: Verdict(
            release_ms=suspect.get_release_ms(),
            companions=_find_companions(suspect, records),
        )
        for suspect in blamed
    }


def _choose_parts(
    parts: Sequence[Suspect], requests: Iterable[Suspect]
) -> list[Suspect]:
    """Return parts that together explain the crashes, the likeliest first."""
    chosen: list[Suspect] = []
    explained: set[str] = set()
    repetitions = _find_repetitions(requests)
    for part in sorted(parts, key=Suspect.get_rank):
        if (
            part.count(explained) >= part.crash_limit
            and part.count(explained | repetitions[part.fingerprint])
            >= _LEAST_REQUESTS
            and not _has_narrower(part, parts)
        ):
            chosen.append(part)
            explained.update(part.crashes)
    return chosen


def _find_repetitions(
    requests: Iterable[Suspect],
) -> defaultdict[str, set[str]]:
    """
    Return the crashes of requests after the first of each, by their parts.

    One harmful request crashes an instance with each try, so that only
    different requests show that it is the part.
    """
    repetitions: defaultdict[str, set[str]] = defaultdict(set)
    for request in requests:
        incarnations = request.list_repetitions()
        for part in request.companions:
            repetitions[part].update(incarnations)
    return repetitions


def _has_narrower(suspect: Suspect, parts: Iterable[Suspect]) -> bool:
    """
    Tell whether a part that fewer requests have was in the same crashes.

    A new template would be blamed otherwise, as long as no request that has
    it without the harmful part has succeeded.
    """
    return any(
        part.attempts < suspect.attempts
        and suspect.crashes.keys() <= part.crashes.keys()
        for part in parts
    )


def _list_unexplained(
    suspects: Iterable[Suspect], blamed: Sequence[Suspect]
) -> list[Suspect]:
    """Return the suspects with enough crashes that nothing else explains."""
    return [
        suspect
        for suspect in suspects
        if suspect.count(_list_explained(suspect, blamed))
        >= suspect.crash_limit
    ]


def _list_explained(suspect: Suspect, blamed: Iterable[Suspect]) -> set[str]:
    """
    Return the crashes of a suspect that something blamed explains.

    A harmful part does not excuse a request that has it.
    """
    return {
        incarnation
        for other in blamed
        if suspect.is_part or other.fingerprint not in suspect.companions
        for incarnation in other.crashes
    }


def _find_companions(
    suspect: Suspect, records: Mapping[str, CrashRecord]
) -> frozenset[str]:
    """
    Return the other parts that may be the harmful one instead.

    Requests that have only one of them are served: a success or a further
    crash shows which part it is.
    """
    if not suspect.is_part:
        return frozenset()
    return frozenset(
        companion
        for companion in suspect.companions
        if companion in records and not records[companion].has_succeeded
    )
