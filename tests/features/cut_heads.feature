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
