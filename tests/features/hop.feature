Feature: One hop reports its outcome correctly
  Only a call that provably never left the caller is not_run.

  Scenario Outline: A sidecar <does> during a <kind> call
    # The connection between an entry and a sidecar breaks at one point; the
    # entry must report neither more nor less than it can know.
    Given a sidecar that <does>
    When an entry sends it a <kind> call
    Then the attempt ended as <outcome> for <reason>

    Examples:
      | does                                 | kind           | outcome | reason             |
      | does not listen                      | repeatable     | not_run | connect_failed     |
      | does not listen                      | non-repeatable | not_run | connect_failed     |
      | closes at once                       | non-repeatable | not_run | connect_failed     |
      | closes after the head                | non-repeatable | not_run | connect_failed     |
      | is silent after the head             | non-repeatable | not_run | connect_failed     |
      | closes after the body                | repeatable     | unknown | connection_lost    |
      | closes after the body                | non-repeatable | unknown | connection_lost    |
      | is silent after the body             | repeatable     | unknown | attempt_timeout    |
      | is silent after the body             | non-repeatable | unknown | attempt_timeout    |
      | closes in the middle of the answer   | non-repeatable | unknown | connection_lost    |
      | answers something else than JSON     | non-repeatable | unknown | truncated          |
      | answers another request              | repeatable     | unknown | mismatched_answer  |
      | answers another attempt              | non-repeatable | unknown | mismatched_answer  |
      | answers an earlier stage             | repeatable     | unknown | mismatched_answer  |
      | answers status 500                   | non-repeatable | unknown | connection_lost    |
      | answers whole                        | non-repeatable | done    | nothing            |

  Scenario Outline: The upstream of a sidecar answers status 409 to <kind>
    # Guards against "not run" for a call that a service has run: only engines
    # define this status as a model that is not loaded.
    Given an upstream that answers every call with status 409
    When a sidecar sends it a call of kind <kind>
    Then the call ended as <outcome> for <reason>

    Examples:
      | kind     | outcome | reason           |
      | plain    | failed  | upstream_error   |
      | encode   | failed  | upstream_error   |
      | generate | not_run | model_not_loaded |
