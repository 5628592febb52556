@each.gateway
Feature: A stream holds each event once, in order, of one software version

  @fixture.log_lines
  Scenario: The log tells which instance brought which part of a stream
    # Guards against an incident whose logs cannot tell a stream of two software
    # versions from one whose events do not follow each other.
    Given upstreams whose next stream is framed by its chunked, stops between two events and ends by close
    When a caller posts to /resumable/partial
    Then it gets all 5 events once, in order, and the end
    And the log has a part of version v1 from event 1 to 1, resumed after nothing
    And the log has a part of version v1 from event 2 to 5, resumed after 1
