Feature: Routing among the instances of a pool

  Scenario: An instance that fails every call fast attracts no work
    # The instance responds with errors at once and so looks idle all the time.
    Given 4 instances of which one fails every call at once
    When 400 calls are routed
    Then it got fewer than 5 in 100 of them

  Scenario: A straggler at a tenth of the speed is avoided
    Given 4 instances of which one takes ten times as long
    When 400 calls are routed
    Then it got fewer than 10 in 100 of them

  Scenario: A pool that is slow as a whole loses no instance
    Given 4 instances of which all take ten times as long
    When 400 calls are routed
    Then no instance is ejected

  Scenario: A subset is spread over the failure domains and is stable
    When any instances come and go
    Then a subset covers every domain and changes only where it must

  Scenario: Retries cannot cause a retry storm
    When a pool fails every call for a while
    Then further attempts stay near a tenth of the traffic
