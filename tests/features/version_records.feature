Feature: The store tells which software versions streams may have begun at
  The gateways record the versions of each pool whose streams may be resumed.

  Scenario: A version is announced before streams begin at it
    # Guards against streams that begin at a version of which another gateway
    # has not heard.
    Given a pool whose recorded version is v1, and a list with v1 and v2
    Then v2 is announced at once
    And v2 is settled only after it has been announced for 2000 ms

  Scenario: A version is recorded while its streams may be resumed
    # Guards against a version that is forgotten while streams of it go on.
    Given a pool whose recorded versions are v1 and v2, and a list with v2
    Then v1 is removed only after it has been missing for 26000 ms
    And nothing is removed while no version is listed

  Scenario: Lists were missed in between
    # Guards against waits that count a time in which a version may have come
    # and left.
    Given a pool whose recorded versions are v1 and v2, and a list with v2
    When no list is seen for 2500 ms after 25000 ms
    Then v1 is removed only after it has been missing for 26000 ms

  Scenario: A store that was restored has lost a version
    # Guards against streams that are joined after a restoration.
    Given a pool whose recorded version is v1, and a list with v1
    When the store is restored from before v2 was recorded
    Then v2 is still recorded, and written again

  Scenario: A configuration lowers the time limit of a route
    # Guards against a version that is forgotten while streams of before still
    # go on.
    Then the longer time limit holds until the streams of its time have ended

  Scenario: A gateway has just started, and the store has no versions
    # Guards against a version that is inferred from the first list alone.
    Then its resumptions are refused until it has seen the lists of their time

  Scenario: Too many versions are listed
    # Guards against records that grow with what other writers list.
    Given a pool whose recorded version is v1, and a list with 40 versions
    Then the record is left as it is

  Scenario: Records of a stream that differ
    # Guards against a version that is taken from one of two records.
    Then a stream with records of v1 and v2 is uncertain
    And a stream with a record of v1 and an uncertain one is uncertain
    And a stream whose record was removed is not known

  Scenario: Streams that the store does not have
    # Guards against records of other pools, of peers and of expired streams.
    Then only unexpired streams of the pools with several versions are written
    And an instance that restarted makes its streams be written again

  Scenario: Gateways resume streams while versions and gateways come and go
    # Guards against streams joined from two versions after any order of
    # releases, rollbacks, kills, cuts, freezes and suspensions.
    Then no stream is joined with seeds 0 to 19, and some go on

  Scenario Outline: Faulty gateways join streams: <fault>
    # Guards against a model that would not show the fault.
    Then a model of gateways joins streams with seed <seed>: <fault>

    Examples:
      | fault           | seed |
      | no records      | 0    |
      | early removal   | 0    |
      | suspended clock | 70   |
      | no read         | 2    |

  @fixture.gateway
  Scenario: The record of a pool cannot be read
    # Guards against a gateway that ends, or refuses every resumption, because
    # of a record that another writer left.
    When another writer replaces the recorded versions by junk
    Then the gateway writes the record again

  @fixture.gateway
  Scenario: The record of a pool is spoiled after a version has left
    # Guards against a version that is forgotten with its record.
    Given a recorded version v2 whose instance has left
    When another writer replaces the recorded versions by junk
    Then the gateway writes v1 and v2 again

  @fixture.gateway
  Scenario: The store is restored from before a version was recorded
    # Guards against a version that gateways forget because the store has.
    Given a backup of the store with version v1
    And a recorded version v2 whose instance has left
    When the store is restored from its backup
    Then the gateway writes v1 and v2 again

  @fixture.gateway
  Scenario: A segment of streams cannot be read
    # Guards against a gateway that ends because of a segment that another
    # writer left.
    When another writer leaves a segment of streams that is junk
    Then the gateway still follows the list
