@each.gateway
Feature: Streams are resumed at gateways that have not seen them begin
  A gateway keeps nothing.  One that has just started has never seen the
  software versions that left the list before.

  @fixture.log_lines
  Scenario: All gateways are replaced after a version has left
    # Guards against streams joined from two versions by gateways that know
    # only one of them.
    Given instances of software versions v1, v1, v2, v2
    And 2 more gateways that know all instances
    When 24 streams break off
    And the store has what began them
    And the instances of version v1 leave
    And gateways g1, g2, g3 are replaced
    And each of the streams is resumed at a new gateway
    Then no stream is joined from two software versions
    And all streams of version v2 go on

  @fixture.log_lines
  Scenario: One of three gateways is replaced after a version has left
    # Guards against streams joined by a gateway that is restarted alone while
    # its peers remember both versions.
    Given instances of software versions v1, v1, v2, v2
    And 2 more gateways that know all instances
    When 24 streams break off
    And the store has what began them
    And the instances of version v1 leave
    And gateways g1 are replaced
    And each of the streams is resumed at a new gateway
    Then no stream is joined from two software versions
    And all streams of version v2 go on

  @fixture.log_lines
  Scenario: All gateways are replaced while two versions serve
    # Guards against streams that are given up since nobody remembers what
    # began them.
    Given instances of software versions v1, v1, v2, v2
    And 2 more gateways that know all instances
    When 24 streams break off
    And the store has what began them
    And gateways g1, g2, g3 are replaced
    And each of the streams is resumed at a new gateway
    Then no stream is joined from two software versions
    And all streams of version v1 go on
    And all streams of version v2 go on

  @fixture.log_lines
  Scenario: All gateways are replaced while one version serves
    # Guards against resumptions that are refused after every restart.
    Given instances of software versions v1, v1, v1, v1
    And 2 more gateways that know all instances
    When 24 streams break off
    And gateways g1, g2, g3 are replaced
    And each of the streams is resumed at a new gateway
    Then no stream is joined from two software versions
    And all streams of version v1 go on

  @fixture.log_lines
  Scenario: A version has become uncertain since it was recorded
    # Guards against a record in the store that its writer no longer trusts.
    Given instances of software versions v1, v1, v2, v2
    And 2 more gateways that know all instances
    When 24 streams break off
    And the store has what began them
    And the gateways that relayed them become uncertain
    And each of the streams is resumed at a new gateway
    Then every resumption is refused

  @fixture.log_lines
  Scenario: A gateway ends before the others have read its records
    # Guards against streams that are given up although the store has what began
    # them.
    Given instances of software versions v1, v1, v2, v2
    And 1 more gateways that know all instances
    When g1 gets no records of streams from its replica
    And 8 streams break off at g2
    And the store has what began them
    And g2 ends
    And each of the streams is resumed at g1
    Then no stream is joined from two software versions
    And all streams of version v1 go on
    And all streams of version v2 go on

  @fixture.log_lines
  Scenario: The record of a stream lapses while it is resumed
    # Guards against a version that is known when the resumption is allowed, and
    # no longer when an instance is chosen.
    Given instances of software versions v1, v1, v2, v2
    And 1 more gateways that know all instances
    When 1 streams break off at g2
    And the store has what began them
    And g2 ends
    And g1 loses the records of streams once it has asked their writers
    And each of the streams is resumed at g1
    Then no stream is joined from two software versions
    And every resumption goes on

  @fixture.log_lines
  Scenario: The leases of the records of streams
    # Guards against records that stay in the store for good, and against those
    # that are never written since a lease has ended.
    Given instances of software versions v1, v1, v2, v2
    When 4 streams break off
    And the store has what began them
    Then their records have leases for as long as they are resumed
    When these leases end
    And 4 streams break off
    Then the store has what began them, under other leases

  @fixture.log_lines
  Scenario Outline: A gateway lags behind a release, and <what>
    # Guards against a version that is inferred from records of which the
    # gateway has no newer read.
    Given another gateway that knows all instances
    When g1 reads nothing more, and <what>
    And all instances are replaced by those of v2 at g2
    And 8 streams break off at g2
    And each of the streams is resumed at g1
    Then every resumption is refused

    Examples:
      | what                         |
      | its own last write is unread |
      | its read of records fails    |

  @fixture.log_lines
  Scenario: A route is split between two pools
    # Guards against streams that go on in another pool than the one in which
    # they began, or are refused there.
    Given instances of software versions v1, v1, v2, v2
    And a second pool that gets half of the streams
    And 2 more gateways that know all instances
    When 24 streams break off
    And the store has what began them
    And gateways g1, g2, g3 are replaced
    And each of the streams is resumed at a new gateway
    Then no stream is joined from two software versions
    And all streams of version v1 go on
    And all streams of version w1 go on

  @fixture.log_lines
  Scenario: A gateway was suspended while a version came
    # Guards against a list that seems new by a clock which stops in suspend.
    Given another gateway that knows all instances
    When 24 streams break off
    And gateway g1 is suspended for 30 s and keeps the list of before
    And a caller resumes a stream of an unknown gateway there
    Then it gets status 503 and the request has run 0 times
