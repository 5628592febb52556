"""Define the limits at which requests and prompt parts are quarantined."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineLimits:
    """
    Set from how many crashes and for how long something is quarantined.

    Attributes
    ----------
    crashes : int
        Number of crashes since its last success at which a request is
        quarantined.
    part_crashes : int
        The same for a prompt part that has never succeeded.
    sound_part_crashes : int
        The same for a prompt part that has succeeded before.
    quarantine_ms : float
        Duration of a request's quarantine after the last crash, in
        milliseconds.
    part_quarantine_ms : float
        The same for a prompt part that has never succeeded.
    sound_part_quarantine_ms : float
        The same for a prompt part that has succeeded before.
    """

    crashes: int = global_settings.QUARANTINE_CRASHES
    part_crashes: int = global_settings.QUARANTINE_PART_CRASHES
    sound_part_crashes: int = global_settings.QUARANTINE_SOUND_PART_CRASHES
    quarantine_ms: float = global_settings.QUARANTINE_MS
    part_quarantine_ms: float = global_settings.PART_QUARANTINE_MS
    sound_part_quarantine_ms: float = global_settings.SOUND_PART_QUARANTINE_MS
