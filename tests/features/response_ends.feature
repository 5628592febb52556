Feature: A response without a length ends only when its connection is closed

  Scenario Outline: The connection is <end>: session of <peers>, <loop>
    # Guards against a part of a response that a client of any peer takes for the
    # whole because the HTTP library does not tell a reset from a close.
    Given a peer that sends a response without a length, after which its connection is <end>
    When a session of <peers> reads it on <loop>
    Then the session reports the response as <response>

    Examples:
      | end    | peers            | loop    | response   |
      | closed | upstreams        | uvloop  | complete   |
      | closed | other daemons    | uvloop  | complete   |
      | closed | the platform     | uvloop  | complete   |
      | closed | upstreams        | asyncio | complete   |
      | reset  | upstreams        | uvloop  | incomplete |
      | reset  | other daemons    | uvloop  | incomplete |
      | reset  | the platform     | uvloop  | incomplete |
      | reset  | upstreams        | asyncio | incomplete |

  Scenario: An instance list that was broken off is read again
    # Guards against a daemon that keeps an old list until the next change,
    # since it presents the entity tag of a list that it could not read.
    Given a list service that breaks off its first response
    When the instance list is polled 2 times
    Then the list has 1 instance
