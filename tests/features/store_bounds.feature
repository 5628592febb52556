Feature: What the store accepts is in force within its bound

  Scenario: One call in a row is lost
    # The connection to the store falls silent right before the operators take
    # a key away.  The caller that holds it would be served for as long as the
    # gateway waits for the lost call and then for its next turn.
    Given polls that are answered in 4 ms and one of which is lost
    When a change is accepted at any moment
    Then it is read within 1300 ms

  Scenario: A store that was away for any time
    # Calls that are refused are counted too, so that tries become rarer in an
    # outage; they must not become so rare that its end is noticed late.
    Given polls that are answered in 4 ms during an outage of any length
    When a change is accepted at any moment
    Then it is read within 1300 ms of the end of the outage

  Scenario: The store is slow
    # Sixty times its usual 4 ms: calls take 240 ms and are not given up.
    Given polls that are answered in 240 ms during an outage of any length
    When a change is accepted at any moment
    Then it is read within 1300 ms of the end of the outage

  Scenario Outline: A large configuration behind a thin link
    # Routes that the operators had added were "not found" at gateways with
    # links of 5 Mbit/s: nothing but a read of everything told of changes, and
    # it took longer than it was waited for.
    Given a configuration of <size_kb> kB, a link of 5 Mbit/s and one lost call
    When it changes at any moment
    Then it is in force within 3000 ms

    Examples:
      | size_kb |
      | 290     |
      | 580     |

  Scenario: Watches are silent while the store answers reads
    # An instance left in the second in which the store's watches were silent,
    # before its history was dropped; it got work until they were back.
    Given a store whose watches fall silent at any moment
    When a change is accepted at any moment after that
    Then it is in force within 1300 ms

  Scenario Outline: An instance leaves some time after an outage
    # Entries that lapsed in an outage are kept for a while after its end.  One
    # that leaves later must not be taken for one of them: it would get requests
    # until that time is over again.
    Given a bound of <bound> ms and an outage of any length
    When an instance leaves at any moment from 3000 ms after its end on
    Then it gets nothing <seen> ms later

    Examples:
      | bound | seen |
      | 2000  | 1300 |
      | 4000  | 2600 |

  Scenario Outline: Entries lapse in an outage and come back
    # The store's leases had run out while it was away.  Instances that lived
    # were dropped, and requests refused, until they had written themselves anew.
    Given a bound of <bound> ms and an outage of any length
    When the entries of live instances lapse in it and are back 1000 ms after its end
    Then none is ever dropped

    Examples:
      | bound |
      | 2000  |
      | 4000  |
      | 10000 |
