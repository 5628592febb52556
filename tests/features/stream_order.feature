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

  Scenario Outline: A response whose events increase: <ids>
    # Guards against a sound stream that is broken off for the numbers that its
    # software leaves out.
    Given upstreams whose next responses hold events <ids>
    When a caller posts to <path>
    Then it gets the events <ids>, and the end

    Examples:
      | path               | ids                                   |
      | /stream/partial    | 4 8 12 16                             |
      | /resumable/partial | 4 8 12 16                             |
      | /stream/partial    | 1 2 4 5                               |
      | /resumable/partial | 1 2 4 5                               |
      | /stream/partial    | 2 3 4 5                               |
      | /resumable/partial | 2 3 4 5                               |
      | /stream/partial    | 3 4 11 500                            |
      | /stream/partial    | 0 1 2                                 |
      | /stream/partial    | 1764846000123 1764846000131           |
      | /stream/partial    | 0001 0002 0010 0011                   |
      | /stream/partial    | 9999999999999999999 10000000000000000000 |
      | /stream/partial    | b-2 b-1 a                             |

  Scenario Outline: Software that numbers without gaps begins to leave some out
    # Guards against a release that changes the numbers of events and whose
    # streams are broken off for what earlier ones have shown.
    Given streams of these upstreams that were relayed before
    And upstreams whose next responses hold events <ids>
    When a caller posts to /resumable/partial
    Then it gets the events <ids>, and the end

    Examples:
      | ids      |
      | 4 8 12   |
      | 1 2 4 5  |
      | 2 3 4 5  |

  Scenario Outline: A response whose events do not increase: <responses>
    # Guards against a stream in which an event comes twice or belongs to another
    # run, and which looks complete.
    Given upstreams whose next responses hold events <responses>
    When a caller posts to /stream/partial
    Then it gets the events <passed>, and a broken connection

    Examples:
      | responses               | passed              |
      | 1 2 2 3 4 5             | 1 2                 |
      | 1 2 3 1 2 3             | 1 2 3               |
      | 1 2 3 2                 | 1 2 3               |
      | 1 2 4 3 5               | 1 2 4               |
      | 4 8 8 12                | 4 8                 |
      | 4 8 12 4 8 12           | 4 8 12              |
      | 4 8 6 12                | 4 8                 |
      | 7 11 500 499            | 7 11 500            |
      | 0001 0002 0002 0003     | 0001 0002           |
      | 0009 0010 9 11          | 0009 0010           |
      | 1764846000131 1764846000123 | 1764846000131   |
      | 10000000000000000000 9999999999999999999 | 10000000000000000000 |

  Scenario Outline: A resumed stream whose events do not follow: <responses>
    # Guards against an instance that begins anew where it should resume, so
    # that events of two runs are joined.
    Given streams of these upstreams that were relayed before
    And a third instance of the pool
    And upstreams whose next responses hold events <responses>
    When a caller posts to /resumable/partial
    Then it gets all 5 events once, in order, and the end

    Examples:
      | responses              |
      | 1 2 2 3 4 5            |
      | 1 2 3 1 2 3            |
      | 1 broken; 1 2 3 4 5    |
      | 1 2 broken; 1 2 3      |
      | 1 broken; 3 4 5        |
      | 1 2 broken; 2 3 4 5    |
      | 1 2 broken; 4 5        |

  Scenario Outline: A stream with gaps goes on at another instance: <responses>
    # Guards against a sound stream that is broken off where it goes on, and
    # against events of two runs that are joined there.
    Given a third instance of the pool
    And upstreams whose next responses hold events <responses>
    When a caller posts to /resumable/partial
    Then it gets the events <ids>, and the end

    Examples:
      | responses                        | ids          |
      | 4 8 broken; 12 16                | 4 8 12 16    |
      | 4 broken; 8 12 16                | 4 8 12 16    |
      | 4 8 broken; 8 12; 12 16          | 4 8 12 16    |
      | 4 8 broken; 4 8 12; 12 16        | 4 8 12 16    |
      | 4 8 12 8; 16                     | 4 8 12 16    |
      | 1 2 4 broken; 7 9                | 1 2 4 7 9    |
      | 0004 0008 broken; 0012           | 0004 0008 0012 |
      | 1764846000123 broken; 1764846000131 | 1764846000123 1764846000131 |

  Scenario: A gap is a missing event where software numbers without gaps
    # Guards against a stream that goes on at another instance after the wrong
    # event.
    Given upstreams whose next responses hold events 1 2 broken; 4 5; 4 5
    When a caller posts to /resumable/partial
    Then it gets the events 1 2, and a broken connection

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
    Given streams of these upstreams that were relayed before
    And upstreams whose next responses hold events <responses>
    When a caller resumes /resumable/partial after event 2
    Then it gets events 3 to 5 once, in order, and the end

    Examples:
      | responses |
      | 1 2 3 4 5 |
      | 2 3 4 5   |
      | 4 5       |

  Scenario: A caller resumes after all gateways were replaced, at an instance that skips an event
    # Guards against a missing event that only gateways of before could notice.
    Given two more gateways and an instance for stage work
    And streams of these upstreams that were relayed before
    When all gateways are killed and started again
    Then they serve the newest configuration
    Given upstreams whose next responses hold events 4 5
    When a caller resumes /resumable/partial after event 2
    Then it gets events 3 to 5 once, in order, and the end

  Scenario Outline: A caller resumes a stream with gaps after event <known>: <responses>
    # Guards against a caller that comes back and never gets the rest, or gets
    # events again.
    Given a third instance of the pool
    And upstreams whose next responses hold events <responses>
    When a caller resumes /resumable/partial after event <known>
    Then it gets the events <ids>, and the end

    Examples:
      | known | responses           | ids       |
      | 8     | 12 16               | 12 16     |
      | 8     | 9 16                | 9 16      |
      | 8     | 4 8 12; 12 16       | 12 16     |
      | 8     | 8 12; 12 16         | 12 16     |
      | 8     | 12 broken; 16       | 12 16     |
      | 8     | 12 12; 16           | 12 16     |

  Scenario: A caller resumes a stream of software that was seen to leave numbers out
    # Guards against what some streams of a release have shown, held against
    # those that are numbered otherwise.
    Given streams of these upstreams that were relayed before
    And upstreams whose next responses hold events 4 8 12; 12 16
    When a caller posts to /resumable/partial
    And a caller resumes /resumable/partial after event 8
    Then it gets the events 12 16, and the end

  @fixture.log_lines
  Scenario: An instance whose events do not follow is avoided
    # Guards against an instance that spoils one stream after the other, and
    # against logs that do not tell why a stream was broken off.
    Given upstreams whose next responses hold events 1 2 1 2
    When a caller posts to /resumable/partial
    Then an attempt failed with reason events_out_of_order: event 1 after 2

  Scenario: Any events in any chunks are passed on once and in order
    # Guards against a check that lets a repetition through, or a gap where a
    # stream goes on, or that stops a sound stream.
    Then the passed events of any stream follow each other
    And any stream whose events increase is passed on unchanged
    And any stream without numbered events is passed on unchanged

  Scenario: Gaps that were seen once stay known
    # Guards against software whose streams are broken off again, since later
    # ones of them happened to have no gap, and against records without limit.
    Given a stream with gaps and then one without were recorded of one version
    When more versions are recorded than are remembered
    Then the first was known to number with gaps until it was forgotten
