@each.gateway
Feature: A stream goes on only at the software version that began it
  What two versions generate does not fit together, and instances do not check
  which of them began a stream.

  @fixture.log_lines
  Scenario: A stream breaks off where only another version is left
    # Guards against events of two software versions in one response.
    Given instance u2 has software version v2
    And upstreams whose next responses hold events 1 broken
    When a caller posts to /resumable/partial
    Then it gets 1 events and a broken connection
    And all parts of the stream are of one software version

  @fixture.log_lines
  Scenario: A stream breaks off where its version has another instance
    # Guards against streams that are given up though they could go on.
    Given instances u1 and u3 have software version v1, and u2 and u4 v2
    And upstreams whose next responses hold events 1 broken
    When a caller posts to /resumable/partial
    Then it gets all 5 events once, in order, and the end
    And all parts of the stream are of one software version

  @fixture.log_lines
  Scenario: An instance has restarted at another version under its identifier
    # Guards against a version that is taken from a list which was read before
    # the instance restarted.
    Given upstreams whose next responses hold events 1 broken
    When a caller's stream is broken off and its instance restarts at v2
    Then it gets 1 events and a broken connection

  Scenario: A caller resumes at the gateway that relayed the beginning
    # Guards against a caller whose stream goes on at another version, and
    # against one that is refused though the version is known.
    Given instance u2 has software version v2
    And upstreams whose next responses hold events 1 2 broken
    When a caller posts to /resumable/partial
    And it resumes /resumable/partial after event 2, naming its first attempt
    Then it gets events 3 to 5 once, in order, and the end
    And both attempts ran at one software version

  Scenario Outline: A caller resumes a stream whose version is not known: <resumes>
    # Guards against a version that is guessed while two versions serve.
    Given instance u2 has software version v2
    When a caller resumes /resumable/partial after event 2, naming <resumes>
    Then it gets status 503 and the request has run 0 times
    And the caller is told to wait at least 4000 ms

    Examples:
      | resumes         |
      | nothing         |
      | another-request |

  Scenario: A caller resumes at another gateway while two versions serve
    # Guards against a gateway that takes the version of its own list for that
    # of a stream which began elsewhere, and against a refusal although a peer
    # knows the version.
    Given instance u2 has software version v2
    And another gateway that knows all instances
    And upstreams whose next responses hold events 1 2 broken
    When a caller posts to /resumable/partial
    And it resumes /resumable/partial after event 2 at the other gateway
    Then it gets events 3 to 5 once, in order, and the end
    And both attempts ran at one software version

  Scenario: The gateway that relayed the beginning is gone
    # Guards against a version that is guessed where neither a peer nor the
    # store knows it.
    Given instance u2 has software version v2
    And another gateway that knows all instances
    And gateway g1 records no streams in the store
    And upstreams whose next responses hold events 1 2 broken
    When a caller posts to /resumable/partial
    And the gateway that relayed it is gone
    And it resumes /resumable/partial after event 2 at the other gateway
    Then it gets status 503 and the request has run 0 times

  Scenario: The gateway that recorded the beginning is gone
    # Guards against a stream that is given up although the store has what began
    # it.
    Given instance u2 has software version v2
    And another gateway that knows all instances
    And upstreams whose next responses hold events 1 2 broken
    When a caller posts to /resumable/partial
    And the store has what began its stream
    And the gateway that relayed it is gone
    And it resumes /resumable/partial after event 2 at the other gateway
    Then it gets events 3 to 5 once, in order, and the end
    And both attempts ran at one software version

  Scenario: The gateway that relayed the beginning is not certain
    # Guards against a peer that trusts a version which the one that relayed the
    # beginning does not.
    Given instance u2 has software version v2
    And another gateway that knows all instances
    And upstreams whose next responses hold events 1 2 broken
    When a caller posts to /resumable/partial
    And the version of its stream becomes uncertain
    And it resumes /resumable/partial after event 2 at the other gateway
    Then it gets status 503 and the request has run 0 times

  @fixture.log_lines
  Scenario: Most resumptions go on while two versions serve
    # Guards against callers whose streams are refused although their version is
    # known to some gateway.
    Given instances u1 and u3 have software version v1, and u2 and u4 v2
    And 3 more gateways that know all instances
    When 40 streams break off, and each is resumed at any gateway
    Then all of them go on at their software version

  Scenario: A caller resumes at another gateway while one version serves
    # Guards against resumptions that are refused in a calm deployment.
    Given another gateway that knows all instances
    And upstreams whose next responses hold events 1 2 broken; 1 2 broken
    When a caller posts to /resumable/partial
    And it resumes /resumable/partial after event 2 at the other gateway
    Then it gets events 3 to 5 once, in order, and the end

  Scenario: A caller resumes after the version that began its stream has gone
    # Guards against a stream that goes on at the new version at the end of a
    # release.
    Given upstreams whose next responses hold events 1 2 broken; 1 2 broken
    When a caller posts to /resumable/partial
    And all instances are replaced by instances of software version v2
    And it resumes /resumable/partial after event 2, naming its first attempt
    Then it gets status 503 and the request has run 0 times
    When a caller resumes /resumable/partial after event 2, naming nothing
    Then it gets status 503 and the request has run 0 times
    When a caller posts to /resumable/partial
    Then it gets all 5 events once, in order, and the end

  Scenario: A caller names a stream of which it has no event number
    # Guards against a stream that begins anew at another version although its
    # caller has shown events of it.
    Given instance u2 has software version v2
    When a caller posts to /resumable/partial, naming another-request
    Then it gets status 503 and the request has run 0 times

  @fixture.log_lines
  Scenario: A refused resumption is logged and counted
    # Guards against refusals whose cause cannot be found.
    Given instance u2 has software version v2
    When a caller resumes /resumable/partial after event 2, naming nothing
    Then the log tells that the resumption was refused because of versions

  Scenario: Records of streams
    # Guards against a version that is guessed from a full, an expired or an
    # uncertain record.
    Then a full record takes no further stream until one expires
    And an expired record is not used
    And the record of a restarted instance is uncertain from its last list on
    And an uncertain record stays uncertain
    And a version is settled once it has been listed for some time
