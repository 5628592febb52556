Feature: Closing a listener of a process that stops

  Scenario Outline: A connection is accepted just before its listener closes
    # Guards against connections that a closing listener does not know yet:
    # their requests are served after the wait, and cut by the exit.
    When a listener on <loop> closes after it has accepted a connection
    Then no request starts after the wait for its connections

    Examples:
      | loop    |
      | uvloop  |
      | asyncio |

  Scenario: A request arrives while its listener waits for another connection
    # Guards against a wait that interrupts the requests it waits for.
    When a listener closes while a request runs
    Then the caller got its response

  Scenario: A caller has sent half of a head when the listener closes
    # Guards against a wait that drops a request of which a part has arrived.
    When a listener closes while the head of a request arrives
    Then the caller got its response
