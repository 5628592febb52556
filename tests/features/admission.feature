Feature: Admission to an upstream

  Scenario: Whatever comes, the queue keeps its books
    When any calls arrive and end in any order
    Then none is lost, none runs twice and no slot is overbooked

  Scenario: A guaranteed organisation is not hurt by another's overload
    # One organisation sends ten times its share; the calls of another, which
    # stays within its guarantee, must not be refused for it.
    Given two organisations of equal guarantee
    When one sends ten times its share and the other half of its share
    Then the other loses less than 2 in 100 of its calls

  Scenario: Idle share is lent and taken back
    Given two organisations of equal guarantee
    When one sends twice its share while the other is idle
    Then it uses more than nine tenths of the upstream
    When the other comes back with its full share
    Then the other gets its share within a second

  Scenario: What is worth least goes first
    Given a full queue of calls of little worth
    When a call of great worth arrives that would come too late
    Then calls of little worth make room for it

  Scenario: What is within a guarantee is not shed for another's worth
    # An organisation declares its requests to be of great worth and would
    # push the calls of another out of what is guaranteed to it.
    Given a queue of calls of little worth, all within their guarantee
    When a call of great worth arrives that would come too late
    Then none of them has to go

  Scenario: A call that cannot end in time is refused at once
    Given a full queue of calls of little worth
    When a call arrives whose deadline is closer than the wait
    Then it is refused as overloaded and told when to come back
