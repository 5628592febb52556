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

  Scenario Outline: A response whose events do not follow each other: <responses>
    # Guards against a stream in which an event is missing, comes twice or
    # belongs to another run, and which looks complete.
    Given upstreams whose next responses hold events <responses>
    When a caller posts to /stream/partial
    Then it gets <count> events and a broken connection

    Examples:
      | responses     | count |
      | 1 2 4 5       | 2     |
      | 1 2 2 3 4 5   | 2     |
      | 1 2 3 1 2 3   | 3     |
      | 1 2 3 2       | 3     |
      | 2 3 4 5       | 0     |

  Scenario Outline: A resumed stream whose events do not follow: <responses>
    # Guards against an instance that begins anew where it should resume, so
    # that events of two runs are joined.
    Given a third instance of the pool
    And upstreams whose next responses hold events <responses>
    When a caller posts to /resumable/partial
    Then it gets all 5 events once, in order, and the end

    Examples:
      | responses              |
      | 1 2 4 5                |
      | 1 2 2 3 4 5            |
      | 1 2 3 1 2 3            |
      | 2 3 4 5                |
      | 1 broken; 1 2 3 4 5    |
      | 1 2 broken; 1 2 3      |
      | 1 broken; 3 4 5        |
      | 1 2 broken; 2 3 4 5    |

  Scenario: Each instance begins anew where it should resume
    # Guards against a stream that is ended as complete once its attempts are
    # spent.
    Given a third instance of the pool
    And upstreams whose next responses hold events 1 2 broken; 1 2 3 4 5; 1 2 3 4 5
    When a caller posts to /resumable/partial
    Then it gets 2 events and a broken connection

  Scenario Outline: A caller resumes at an instance that begins elsewhere: <responses>
    # Guards against a caller that gets events again, or misses some, when it
    # resumes a stream.
    Given upstreams whose next responses hold events <responses>
    When a caller resumes /resumable/partial after event 2
    Then it gets events 3 to 5 once, in order, and the end

    Examples:
      | responses |
      | 1 2 3 4 5 |
      | 2 3 4 5   |
      | 4 5       |

  @fixture.log_lines
  Scenario: An instance whose events do not follow is avoided
    # Guards against an instance that spoils one stream after the other, and
    # against logs that do not tell why a stream was broken off.
    Given upstreams whose next responses hold events 1 2 4 5
    When a caller posts to /resumable/partial
    Then an attempt failed with reason events_out_of_order: event 4 after 2

  Scenario: Any events in any chunks are passed on once and in order
    # Guards against a check that lets a gap or a repetition through, or that
    # stops a stream whose ids it cannot compare.
    Then the passed events of any stream follow each other
    And any stream whose events follow each other is passed on unchanged
    And any stream without numbered events is passed on unchanged
