@fixture.kingston
Feature: Validation and authentication of requests
  Invalid input gets a typed refusal that correctly says that nothing was run.

  Scenario Outline: <what> is refused
    When a caller sends <what>
    Then the status is <status> with reason <reason> and outcome not_run
    And nothing was recorded for it

    Examples:
      | what                             | status | reason              |
      | text that is not JSON            | 400    | bad_request         |
      | a body with an unknown field     | 400    | bad_request         |
      | a body without a deadline        | 400    | bad_request         |
      | a body that is too large         | 413    | body_too_large      |
      | a key that nobody has            | 401    | unauthorized        |
      | no key                           | 401    | unauthorized        |
      | a pipeline that does not exist   | 404    | unknown_pipeline    |
      | another organisation's pipeline  | 404    | unknown_pipeline    |
      | a deadline that has passed       | 400    | deadline_exceeded   |
      | a deadline beyond the limit      | 400    | bad_deadline        |
      | a deadline that is not a number  | 400    | bad_request         |
      | an idempotency key of no version | 400    | bad_idempotency_key |
      | an idempotency key of the future | 400    | bad_idempotency_key |

  Scenario: A caller's key is in no log
    When a caller sends a whole request
    Then its key appears in no log of any process

  Scenario Outline: A caller with invalid keys may not use <path>
    When an unauthenticated client calls <method> <path>
    Then the unauthenticated client is refused

    Examples:
      | method | path                            |
      | POST   | /v1/stages                      |
      | GET    | /v1/configuration               |
      | POST   | /v1/configuration/announcements |
      | GET    | /v1/once/assignment             |
      | POST   | /v1/once/records                |
      | POST   | /v1/once/promises               |
      | GET    | /v1/operator/snapshot           |
      | POST   | /v1/operator/changes            |
