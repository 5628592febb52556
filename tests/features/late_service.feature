Feature: Late requests are served where that takes nothing from others

  Scenario: A deferred request starts when the least urgent new one is admitted
    # Schedulers advance every 50 ms.  In a burst of five seconds, with callers
    # that wait for six, requests refused on arrival were lost although the
    # pools were idle two seconds later.
    Given a request deferred at 0 ms that must begin by 4000 ms
    When the pools have capacity from 1500 ms on
    Then it starts at 1500 ms

  Scenario: A deferred request is refused when its caller would have left
    Given a request deferred at 0 ms that must begin by 4000 ms
    When the pools never have capacity
    Then it is refused at 4050 ms

  Scenario: A deferred request is quarantined
    # Guards against a request that waits, and starts stage work, though it cannot be served any more.
    Given a request deferred at 0 ms that must begin by 4000 ms
    When it is quarantined from 1000 ms on and the pools have capacity from 2000 ms on
    Then it is refused at 1000 ms

  Scenario: A request that could not start in time is not deferred at all
    # A caller that is deferred without a chance learns nothing for its whole
    # time limit.
    Given a request deferred at 0 ms that must begin by 0 ms
    Then it is refused at 0 ms

  Scenario: Deferred requests start one per ping, the most urgent first
    # Hosts report their waiting times with each ping.  All deferred requests
    # would start by the same outdated response and displace new requests.
    Given deferred requests of priorities 2, 0 and 1
    When the pools have capacity
    Then they begin in the order 0, 1, 2 with a ping between them

  Scenario: In a lasting shortage callers are refused at once
    # A pool has lost an instance permanently: deferred requests waited for
    # seconds only to be refused, and so would the next ones.
    Given a pool that is short for 20 s, with 8 late requests a second
    Then of the last half at most one in ten was deferred without being served
    And 30 s later one is deferred again

  Scenario: A request waits for an instance of a pool that has none
    # Records of live instances lapse in an outage of the store and are back two
    # seconds after it; requests meanwhile were refused twice and lost.
    Given a request deferred at 0 ms that must begin by 4000 ms
    When its pool has no instance until 900 ms
    Then it starts at 900 ms

  Scenario: Serving late loses fewer requests and attains no less worth
    # Simulates bursts and the loss of an instance with the serving code, three
    # days each, on the load profile of the first users' calm day.
    When the model simulates bursts and the loss of an instance with deferral and without
    Then at most half as many requests are unserved with it
    And no less of the worth is attained

  Scenario: Requests wait for a first configuration
    # All gateways lose power while the store is unavailable.  Callers got 503
    # from one gateway after the other, 86 in two seconds, and ran out of
    # retries.
    Given a process without a configuration
    When a request comes with 6000 ms and the configuration 200 ms later
    Then the request is handled with that configuration

  Scenario: The wait for a first configuration ends
    Given a process without a configuration
    When a request comes with 400 ms and no configuration does
    Then it ends as one without a configuration
