Feature: A response whose head is cut is a failure

  Scenario Outline: A cut head is followed by the response: <peers>, <framing>
    # Guards against a response with the status, the promise "not run" or the
    # length of another one, whose head a peer began and did not end.
    Given peers that send <beginning>, then a response framed by its <framing>
    When sessions of <peers> read it after the beginning was cut at any byte
    Then each has the whole response or a failure

    Examples:
      | peers         | beginning   | framing    |
      | upstreams     | a rejection | length     |
      | upstreams     | a success   | length     |
      | upstreams     | a success   | connection |
      | stages        | a rejection | length     |
      | stages        | a success   | connection |
      | gateways      | a rejection | length     |
      | gateways      | a success   | connection |
      | other daemons | a rejection | length     |
      | other daemons | a success   | connection |
      | the platform  | a rejection | length     |
      | the platform  | a success   | connection |

  @each.gateway
  Scenario Outline: An engine begins with <head> and goes on with its response
    # Guards against a caller that is told "not run", or a success, by the
    # status of one response and the identifier of another.
    Given instances that send the unfinished head <head> before each response
    When a caller posts to <path>
    Then it gets status 502 and the request has run 1 times

    Examples:
      | head                                                        | path           |
      | HTTP/1.1 503 Busy; X-Ragworthollow-Not-Executed: 1; Other:  | /unsafe/answer |
      | HTTP/1.1 503 Busy; X-Ragworthollow-Not-Executed: 1; Other:  | /stream/stream |
      | HTTP/1.1 421 Misd                                           | /unsafe/answer |
      | HTTP/1.1 200 O                                              | /unsafe/fail   |

  @each.gateway
  Scenario Outline: An engine stops in its head: <path>, <end>
    # Guards against a success with an empty or short body, framed as whole.
    When callers post to <path> and the head is cut at any byte by <end>
    Then each gets status 502 and its request has run <count> times

    Examples:
      | path        | end   | count |
      | /unsafe/cut | close | 1     |
      | /unsafe/cut | reset | 1     |
      | /stream/cut | close | 1     |
      | /stream/cut | reset | 1     |

  Scenario Outline: A response stops at any byte: <reader>, <end>, <framing>
    # Guards against a reader that takes a part of a head for the whole.
    When <reader> reads responses that stop at any byte by <end>, framed by their <framing>
    Then only the whole response is one

    Examples:
      | reader                 | end   | framing  |
      | an engine of a sidecar | close | length   |
      | an engine of a sidecar | close | trailers |
      | an engine of a sidecar | reset | length   |
      | a stream of a sidecar  | close | length   |
      | a stream of a sidecar  | reset | length   |
      | a member               | close | length   |
      | a member               | close | trailers |
      | a member               | reset | length   |
      | the list of instances  | close | length   |
      | the list of instances  | close | trailers |
      | the list of instances  | reset | length   |
      | the store              | close | length   |
      | the store              | close | trailers |
      | the store              | reset | length   |
      | a commit               | close | length   |
      | a commit               | close | trailers |
      | a commit               | reset | length   |
      | a call of a gateway    | close | length   |
      | a call of a gateway    | close | trailers |
      | a call of a gateway    | reset | length   |
      | a stage of an entry    | close | length   |
      | a stage of an entry    | close | trailers |
      | a stage of an entry    | reset | length   |
      | a call for pieces      | close | length   |
      | a call for pieces      | close | trailers |
      | a call for pieces      | reset | length   |
      | the command line       | close | length   |
      | the command line       | close | trailers |
      | the command line       | reset | length   |
      | an upstream            | close | length   |
      | an upstream            | close | trailers |
      | an upstream            | reset | length   |

  Scenario Outline: A copy in chunks with <trailers> precedes the response
    # Guards against a trailer of one response that is taken for a field of the
    # next one, such as the promise "not run".
    Given a peer that sends a copy in chunks with <trailers> before its second response
    When 2 requests are sent to it on one connection
    Then the second response is <response>

    Examples:
      | trailers   | response  |
      | no trailer | the whole |
      | a promise  | a failure |
      | 2 trailers | a failure |
