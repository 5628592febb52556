Feature: Records of instances are validated and tied to an incarnation

  @fixture.log_lines
  Scenario Outline: A record that no instance wrote is ignored
    # Other writers may use the same prefix of the store.  Such a record used to
    # be completed with defaults: requests were sent to an address where nothing
    # listens, and failed one after the other until it was suspected.
    When a record arrives <change>
    Then it names no instance, and this is logged once

    Examples:
      | change                         |
      | without its pool               |
      | without its address            |
      | without its failure domain     |
      | without its software version   |
      | without its slots              |
      | without its state              |
      | without its time to be warm    |
      | without its count of reports   |
      | with 0 slots                   |
      | with slots as text             |
      | with slots as a truth value    |
      | with slots beyond any float    |
      | with slots beyond 64 bits      |
      | with a start beyond any float  |
      | with a count beyond any float  |
      | with a warmth beyond 64 bits   |
      | with an unknown state          |
      | with a name as its address     |
      | with port 0                    |
      | with a port of 5000 digits     |
      | with a port of other digits    |
      | with a broken start            |
      | as bytes that are no text      |
      | as an endless list             |
      | as nothing at all              |

  Scenario: Any foreign value leaves the records of instances intact
    Then any bytes in one record leave the other records unchanged

  Scenario: An instance that starts again under its name is a new incarnation
    # A crashed instance is back two seconds later under its old name.  It was
    # avoided for eight seconds for failures of its earlier incarnation, and
    # counted as full of requests that had been lost with it.
    Given an instance that failed 4 times with 3 of our requests running
    When a list shows that it has started again
    Then it is no longer avoided and counted as idle
    And the end of a request at its earlier incarnation changes nothing

  Scenario: An instance that is listed as before is the same incarnation
    # A lapsed record returns after an outage of the store with the same start.
    Given an instance that failed 4 times with 3 of our requests running
    When a list shows it as before
    Then it is still avoided

  @fixture.gateway
  Scenario: Calls and results of an earlier incarnation are released
    # An instance crashes behind a network partition and restarts.  Its call
    # hangs on an unresponsive connection for six seconds, in which the new
    # incarnation got no work, and lost results filled its result space.
    Given a stage instance with a call that hangs and results that fill it
    When its record shows a new incarnation
    Then the call ends at once, its pieces are made by the new incarnation
    And its result space is free

  @fixture.gateway
  Scenario Outline: A record with <change> in a pool that serves
    # Guards against a number in one record that makes the choice of an instance
    # fail for the requests of the whole pool.
    Given a record of another writer in the pool plain, <change>
    Then 40 requests to /safe/answer are answered by its instances

    Examples:
      | change                        |
      | with slots beyond any float   |
      | with slots beyond 64 bits     |
      | with a start beyond any float |
      | with a warmth beyond 64 bits  |
