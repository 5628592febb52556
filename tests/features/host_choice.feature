Feature: Schedulers are hosted by gateways with sufficient capacity

  Scenario: Large and small gateways
    # In a burst every request with stages waited: the host of the busiest
    # scheduler had a third of a core and a slow link, while other gateways with
    # two cores were idle.  Hosts had been chosen by name alone.
    Given 53 gateways of 0.4 cores and 20 Mbit/s, and 15 of 2.2 and 200
    When the hosts of 30 pools are chosen
    Then each is a large gateway, and no gateway hosts more than 8 of them

  Scenario: Many cores behind a slow link
    # Pieces and the names of their results pass the link of the host.
    Given 4 gateways of 0.4 cores and 100 Mbit/s, and 2 of 2.2 and 1
    When the hosts of 30 pools are chosen
    Then each is a small gateway, and no gateway hosts more than 15 of them

  Scenario: All large gateways are lost
    Given 53 gateways of 0.4 cores and 20 Mbit/s, and 15 of 2.2 and 200
    And the large gateways do not respond
    When the hosts of 30 pools are chosen
    Then each is a small gateway, and no gateway hosts more than 8 of them

  Scenario: Members with the same list choose the same hosts
    # Two hosts of one scheduler would fill the same instances without knowing
    # of each other.
    Given 53 gateways of 0.4 cores and 20 Mbit/s, and 15 of 2.2 and 200
    When the hosts of 30 pools are chosen by each of them
    Then all have chosen the same

  Scenario: A gateway joins before the list of members contains it
    # A scheduler moved to the gateway that had just joined, back to its earlier
    # host and to the new one again: lists up to a second old each lacked what
    # the gateway had reported.  Calls were sent from two hosts meanwhile.
    Given 3 gateways of 0.4 cores and 20 Mbit/s, and 1 of 2.2 and 200
    When a large gateway reports at 1000 ms that it joins
    Then it stays a member after a list of 900 ms that lacks it
    And it is no member after a list of 1100 ms that lacks it

  Scenario: Many pieces arrive while the members stay the same
    # A gateway of a large fleet ranked every member for each piece and for each
    # response to a ping.
    Given 53 gateways of 0.4 cores and 20 Mbit/s, and 15 of 2.2 and 200
    When the host of a pool is asked for 500 times
    Then each member was ranked once
    And each member was ranked once more after another has joined

  Scenario Outline: A member was briefly unresponsive and hosts nothing
    # Guards against gateways that skip a member permanently because only hosts
    # were pinged: at the next change of host they would choose another gateway
    # than all others.
    Given 15 gateways of 0.4 cores and 20 Mbit/s, and 6 of 2.2 and 200
    And each gateway has found <silent> unresponsive, and they respond again
    When the hosts of 3 pools stop one after the other, each 2000 ms later
    Then all gateways have chosen the same hosts after each stop

    Examples:
      | silent                 |
      | all the others         |
      | all but one of them    |
      | those of its own kind  |
