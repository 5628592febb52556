@each.gateway
Feature: A stream that its upstream broke off does not look complete

  @fixture.log_lines
  Scenario Outline: The log tells how a stream ended: <framing>, <end>
    # Guards against an incident whose logs cannot tell a reset connection from
    # a stream that its upstream ended inside an event.
    Given upstreams whose next stream is framed by its <framing>, stops inside an event and ends by <end>
    When a caller posts to /stream/partial
    Then the log has framing <framing>, connection end <connection_end>, <events> event and <unfinished> unfinished bytes

    Examples:
      | framing    | end     | connection_end | events | unfinished |
      | connection | close   | closed         | 1      | 18         |
      | connection | reset   | failed         | 1      | 18         |
      | length     | regular | None           | 1      | 18         |
      | chunked    | regular | None           | 1      | 18         |

  Scenario Outline: A stream is broken off: framed by its <framing>, <stop>, <end>
    # Guards against a part of a dossier that its caller takes for the whole.
    Given upstreams whose next stream is framed by its <framing>, stops <stop> and ends by <end>
    When a caller posts to /stream/partial
    Then it gets <count> whole events and a broken connection

    Examples:
      | framing    | stop               | end     | count |
      | connection | after its head     | close   | 0     |
      | connection | after its head     | reset   | 0     |
      | connection | between two events | reset   | 1     |
      | connection | inside an event    | reset   | 1     |
      | connection | inside an event    | close   | 1     |
      | length     | after its head     | close   | 0     |
      | length     | between two events | close   | 1     |
      | length     | between two events | reset   | 1     |
      | length     | inside an event    | close   | 1     |
      | length     | inside an event    | reset   | 1     |
      | length     | inside an event    | regular | 1     |
      | chunked    | after its head     | reset   | 0     |
      | chunked    | between two events | close   | 1     |
      | chunked    | between two events | reset   | 1     |
      | chunked    | inside an event    | close   | 1     |
      | chunked    | inside an event    | reset   | 1     |
      | chunked    | inside an event    | regular | 1     |

  @fixture.log_lines
  Scenario: A broken stream is not counted as served
    # Guards against logs and metrics in which requests are served whose callers
    # got a part of their answer.
    Given upstreams whose next stream is framed by its connection, stops inside an event and ends by reset
    When a caller posts to /stream/partial
    Then the request is logged and counted with outcome unknown and reason truncated

  Scenario Outline: A broken stream resumes: framed by its <framing>, <stop>, <end>
    # Guards against a resumed stream with a gap or with a part of an event.
    Given upstreams whose next stream is framed by its <framing>, stops <stop> and ends by <end>
    When a caller posts to /resumable/partial
    Then it gets all 5 events once, in order, and the end

    Examples:
      | framing    | stop               | end     |
      | connection | after its head     | close   |
      | connection | between two events | reset   |
      | connection | inside an event    | reset   |
      | connection | inside an event    | close   |
      | length     | inside an event    | regular |
      | chunked    | inside an event    | regular |

  Scenario Outline: A complete stream stays complete: <framing>, <lines>, <trailer>
    # Guards against complete answers that are cut or delayed because of how
    # they are framed or how their lines end.
    Given upstreams whose next stream is framed by its <framing>, whole, with <lines> lines and <trailer> after it
    When a caller posts to /stream/partial
    Then it gets all 5 events once, in order, and the end
    And the caller's body is what the upstream sent

    Examples:
      | framing    | lines | trailer     |
      | connection | LF    | nothing     |
      | connection | CRLF  | nothing     |
      | connection | CR    | nothing     |
      | connection | LF    | a comment   |
      | connection | CRLF  | a blank line |
      | length     | LF    | nothing     |
      | length     | CRLF  | nothing     |
      | chunked    | LF    | a blank line |
      | chunked    | CRLF  | nothing     |
      | chunked    | CR    | a comment   |

  Scenario: A resumed stream without further events is complete
    # Guards against a caller that has all events and is told that its stream
    # was broken off once more.
    Given upstreams whose next stream is framed by its connection, whole, with LF lines and nothing after it
    When a caller resumes /resumable/partial after event 5
    Then it gets all 0 events once, in order, and the end

  Scenario Outline: Events with <lines> lines reach the caller as they arrive
    # Guards against a stream that is held back until its end, since its blank
    # lines are not recognised.
    Given upstreams that hold streams with <lines> lines after their first event
    When a caller opens /stream/held
    Then it gets the first event before the stream goes on

    Examples:
      | lines |
      | LF    |
      | CRLF  |
      | CR    |

  Scenario Outline: An error answer of a stream that is <end>
    # Guards against a part of an error answer that is passed on as the whole.
    Given upstreams whose next error answer has no length and ends by <end>
    When a caller posts to /stream/error
    Then it gets status <status> and the request has run 1 times

    Examples:
      | end   | status |
      | close | 500    |
      | reset | 502    |

  Scenario: Events in any division into chunks are passed on unchanged
    # Guards against events that are lost, joined or held back where a chunk ends
    # inside a line ending.
    Then any events with any line endings in any chunks leave the buffer whole

  Scenario: The events of a stream do not depend on how it is cut
    # Guards against events that are told apart by where their bytes were cut.
    Then any bytes in any chunks give the events that they give as a whole

  Scenario Outline: One event without end in chunks of <chunk_bytes> bytes
    # Guards against a stream whose bytes are searched again with each chunk, so
    # that the time for it grows with the square of its length.
    When <total_bytes> bytes without the end of an event are fed in chunks of <chunk_bytes>
    Then no more than 4 times as many bytes were searched

    Examples:
      | total_bytes | chunk_bytes |
      | 200000      | 1           |
      | 200000      | 16          |
      | 200000      | 64          |
      | 200000      | 1460        |

  Scenario Outline: An event is <excess> bytes longer than the limit
    # Guards against an event that fills the memory of a gateway, and against a
    # limit that depends on how the stream is cut.
    When an event of <excess> bytes beyond the limit follows a short one
    Then the buffer has passed on <events> events and reports <report>

    Examples:
      | excess | events | report            |
      | 0      | 2      | no event          |
      | 1      | 1      | an event too long |

  Scenario: A stream with an event that is too long is broken off
    # Guards against a stream that is relayed as complete without an event.
    When a caller posts to /stream/long?1000000
    Then it gets 0 whole events and a broken connection

  Scenario Outline: A stream arrives faster than it is read: <chunk_bytes> bytes
    # Guards against a reader that keeps the event loop until the end of a stream
    # because all of its chunks have arrived.
    When a stream of 200000 bytes in chunks of <chunk_bytes> is relayed at once
    Then other work ran at least every 16384 bytes and every 64 chunks

    Examples:
      | chunk_bytes |
      | 1           |
      | 64          |
      | 1460        |
      | 200000      |

  Scenario Outline: Requests beside streams of one long event, <chunk_bytes> bytes
    # Guards against a gateway that answers nobody in time while it reads
    # streams with one long event.
    When 50 callers with 3000 ms post beside 4 streams of /stream/long?<chunk_bytes>
    Then each of them got its own complete response

    Examples:
      | chunk_bytes |
      | 16          |
      | 64          |
      | 1460        |

  Scenario: A caller's connection is closing when events arrive for it
    # Guards against an instance that is blamed, and a stream resumed for nobody,
    # since a write to a caller and a read from an upstream fail alike.
    Given a caller whose connection is closing
    When events of an upstream are relayed to it
    Then the relay reports a lost caller and not a broken upstream

  @fixture.log_lines
  Scenario: A caller leaves while its stream waits for it to read
    # Guards against an instance that is avoided because a caller has left.
    When a caller leaves /stream/flood without reading it
    Then the request is logged as abandoned, and no attempt as failed

  Scenario: A stream goes on at instances that end after their head
    # Guards against a resumed stream that looks complete although the instance
    # that it went on at has crashed.
    When a caller resumes after event 1, and each instance ends after its head
    Then it gets no event and a broken connection
