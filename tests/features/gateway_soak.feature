Feature: Gateways that are stopped at random

  Scenario: Gateways are stopped while their callers keep connections open
    # Guards against a stop that cuts a request, repeats one, or refuses one
    # that ran, at any moment, and in any order with other disturbances.
    When gateway processes are disturbed at random from seed 3 for 8 seconds
    Then no request was cut by a stop, doubled, crossed, out of order or falsely refused

  Scenario: Full engines send a rejection a second time
    # Guards against a rejection of one request that is taken for that of the
    # next on the connection, which an engine runs.
    When gateways in front of full engines are disturbed at random from seed 1 for 2 seconds
    Then no request was cut by a stop, doubled, crossed, out of order or falsely refused

  Scenario: Software versions are released while all gateways are lost
    # Guards against streams that callers resume and that are joined from two
    # software versions, have a gap, go back or end early.
    When gateways of engines that change their version are disturbed at random from seed 7 for 20 seconds
    Then no request was cut by a stop, doubled, crossed, out of order or falsely refused
    And no stream is joined from two versions, and some were resumed
