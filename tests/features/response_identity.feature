Feature: A response counts only for the request that it names

  @each.gateway
  Scenario Outline: A late copy of a <rejection> does not refuse <kind>
    # Guards against a refusal that promises "not run" for a request that an
    # instance is working on, since a second copy of an earlier rejection on the
    # same connection was taken for its response.
    Given instances that repeat each response while the next request runs
    When 20 callers post one after the other to <rejected> and then to <path>
    Then none of those refused has run
    And all of the later ones were served

    Examples:
      | rejection    | kind                  | rejected          | path             |
      | rejection    | an unsafe request     | /unsafe/refuse    | /unsafe/answer   |
      | rejection    | a stream              | /stream/refuse    | /stream/stream   |
      | misdirection | an unsafe request     | /unsafe/misdirect | /unsafe/answer   |
      | misdirection | a stream              | /stream/misdirect | /stream/stream   |

  @each.gateway
  Scenario Outline: Many late copies of a rejection do not refuse <kind>
    # Guards against a promise "not run" where the search for the response of a
    # running request is given up.
    Given instances that repeat each response 6 times while the next request runs
    When 5 callers post one after the other to <rejected> and then to <path>
    Then none of those refused has run

    Examples:
      | kind              | rejected       | path           |
      | an unsafe request | /unsafe/refuse | /unsafe/answer |
      | a stream          | /stream/refuse | /stream/stream |

  @each.gateway
  Scenario Outline: A request that runs gets the response <response>
    # Guards against a promise "not run" that rests on a status or a mark alone.
    When a caller posts to /unsafe/<response>
    Then it gets status 502 and the request has run 1 times

    Examples:
      | response          |
      | refuse-other      |
      | misdirect-other   |
      | misdirect-unnamed |

  @each.gateway
  Scenario: A response has a header that cannot be passed on
    # Guards against a caller whose connection is closed without an answer, since
    # the HTTP library refuses to send a control character.
    When a caller posts to /unsafe/control
    Then it gets status 502 and the request has run 1 times

  Scenario: A connection carries a limited number of requests
    # Guards against identifiers that are remembered without end.
    Given an upstream that rejects every request
    When 257 requests are sent to it
    Then it came on 2 connections

  @each.gateway
  Scenario Outline: A rejection that names no request proves nothing: <prefix>
    # Guards against a promise "not run" that rests on a response which may belong
    # to any request.
    When a caller posts to <prefix>/unnamed
    Then it gets status 502 and the request has run 0 times
    And no connection to an upstream is kept

    Examples:
      | prefix  |
      | /unsafe |
      | /stream |

  Scenario: A request that is sent again uses another connection
    # Guards against a copy of the first rejection that is taken for the response
    # to the second attempt at the same address.
    Given an upstream that rejects every request
    When the same request is sent to it 3 times
    Then it came on 3 connections

  @each.gateway
  Scenario Outline: Different requests use the same connection: <path>
    # Guards against a connection for each request, which upstreams limit.
    When 20 requests are posted one after the other to <path>
    Then each instance that got any has one connection

    Examples:
      | path           |
      | /unsafe/answer |
      | /unsafe/refuse |
      | /stream/stream |

  Scenario: A connection is not used again after bytes that nobody asked for
    # Guards against the rest of an unfinished head that is read as the beginning
    # of the next response.
    Given an upstream that begins another response after each one
    When 3 requests are sent to it
    Then it came on 3 connections

  Scenario: An upstream sends bytes as soon as it is connected
    # Guards against connections that are opened without end, since none of them
    # is taken for usable.
    Given an upstream that sends an unfinished head on each new connection
    When a request is sent to it
    Then the session reports that no connection could be made

  Scenario Outline: Copies of an earlier response come <how>
    # Guards against a request that waits behind copies for its whole time limit,
    # and against memory that grows with them.
    Given an upstream that answers the second request with copies <how>
    When 2 requests are sent to it
    Then the second request has no response of its own

    Examples:
      | how                    |
      | one after the other    |
      | with a body that grows |
      | without a length       |

  @each.gateway
  @fixture.log_lines
  Scenario: The log tells which request a response named
    # Guards against refusals whose proof cannot be examined afterwards.
    When a caller posts to /unsafe/unnamed
    Then the log holds attempts whose response named no request
