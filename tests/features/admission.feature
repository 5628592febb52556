Feature: Admission to an upstream

  Scenario: The queue stays consistent for any order of calls
    When any calls arrive and end in any order
    Then none is lost, none runs twice and no slot is overbooked

  Scenario: A guaranteed organisation is not affected by another's overload
    # One organisation sends ten times its share; calls of another that stays
    # within its guarantee must not be refused because of it.
    Given two organisations of equal guarantee
    When one sends ten times its share and the other half of its share
    Then the other loses less than 2 in 100 of its calls

  Scenario: An idle share is redistributed and returned on demand
    Given two organisations of equal guarantee
    When one sends twice its share while the other is idle
    Then it uses more than nine tenths of the upstream
    When the other sends its full share again
    Then the other gets its share within a second

  Scenario: Calls of the least worth are evicted first
    Given a full queue of calls of little worth
    When a call of great worth arrives that would come too late
    Then calls of little worth are evicted for it

  Scenario: Calls within a guarantee are not evicted for another's worth
    # An organisation that declares great worth for its requests could otherwise
    # evict calls that are within another organisation's guarantee.
    Given a queue of calls of little worth, all within their guarantee
    When a call of great worth arrives that would come too late
    Then none of them is evicted

  Scenario: A call that cannot end in time is refused at once
    Given a full queue of calls of little worth
    When a call arrives whose deadline is closer than the wait
    Then it is refused as overloaded and given a time to retry
