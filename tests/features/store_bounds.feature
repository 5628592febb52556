Feature: Changes that the store accepts are active within a time bound

  Scenario: One poll of a series is lost
    # The connection to the store stops responding right before the operators
    # revoke a key. The caller that holds the key would be served while the
    # gateway waits for the lost call and then for its next poll.
    Given polls that are answered in 4 ms and one of which is lost
    When a change is accepted at any moment
    Then it is read within 1300 ms

  Scenario: The store was unavailable for any length of time
    # Refused calls are counted too, so that polls become rarer in an outage;
    # they must not become so rare that its end is noticed late.
    Given polls that are answered in 4 ms during an outage of any length
    When a change is accepted at any moment
    Then it is read within 1300 ms of the end of the outage

  Scenario: The store is slow
    # Calls take 240 ms, sixty times the usual 4 ms, and are not cancelled.
    Given polls that are answered in 240 ms during an outage of any length
    When a change is accepted at any moment
    Then it is read within 1300 ms of the end of the outage

  Scenario Outline: A large configuration behind a slow link
    # Gateways with links of 5 Mbit/s answered "not found" on routes that the
    # operators had added: only a full read reported changes, and it took longer
    # than its timeout.
    Given a configuration of <size_kb> kB, a link of 5 Mbit/s and one lost call
    When it changes at any moment
    Then it is active within 3000 ms

    Examples:
      | size_kb |
      | 290     |
      | 580     |

  Scenario: Watches report nothing while the store answers reads
    # An instance left in the second in which the store's watches reported
    # nothing, before the watch history was dropped; it got requests until the
    # watches worked again.
    Given a store whose watches stop reporting at any moment
    When a change is accepted at any moment after that
    Then it is active within 1300 ms

  Scenario Outline: An instance leaves some time after an outage
    # Records that expired in an outage are kept for a while after its end. An
    # instance that leaves later must not be mistaken for one of them: it would
    # get requests until that time has passed again.
    Given a bound of <bound> ms and an outage of any length
    When an instance leaves at any moment from 3000 ms after its end on
    Then it gets nothing <seen> ms later

    Examples:
      | bound | seen |
      | 2000  | 1300 |
      | 4000  | 2600 |

  Scenario Outline: Records expire in an outage and are written again
    # The store's leases had expired while it was unavailable. Live instances
    # were dropped, and requests refused, until the instances had written their
    # records again.
    Given a bound of <bound> ms and an outage of any length
    When the records of live instances expire in it and are written again 1000 ms after its end
    Then none is ever dropped

    Examples:
      | bound |
      | 2000  |
      | 4000  |
      | 10000 |
