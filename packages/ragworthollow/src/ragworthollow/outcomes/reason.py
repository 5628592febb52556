"""Name every reason for a refusal or a failure."""

import enum


class Reason(enum.StrEnum):
    """Say why a request or an attempt did not end in a whole answer."""

    bad_request = 'bad_request'
    body_too_large = 'body_too_large'
    unauthorized = 'unauthorized'
    unknown_pipeline = 'unknown_pipeline'
    bad_deadline = 'bad_deadline'
    deadline_exceeded = 'deadline_exceeded'
    deadline_too_short = 'deadline_too_short'
    bad_idempotency_key = 'bad_idempotency_key'
    key_in_use = 'key_in_use'
    ownership_unsure = 'ownership_unsure'
    not_owner = 'not_owner'
    born_before_ownership = 'born_before_ownership'
    ceiling_reached = 'ceiling_reached'
    overloaded = 'overloaded'
    shed = 'shed'
    draining = 'draining'
    leaving = 'leaving'
    no_instance = 'no_instance'
    not_configured = 'not_configured'
    model_not_loaded = 'model_not_loaded'
    connect_failed = 'connect_failed'
    connection_lost = 'connection_lost'
    truncated = 'truncated'
    mismatched_answer = 'mismatched_answer'
    attempt_timeout = 'attempt_timeout'
    upstream_error = 'upstream_error'
    cancelled = 'cancelled'
    invariant_violated = 'invariant_violated'
    conflict = 'conflict'
    invalid_configuration = 'invalid_configuration'
    platform_unavailable = 'platform_unavailable'
