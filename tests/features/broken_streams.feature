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
