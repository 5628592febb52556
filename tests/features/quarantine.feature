@each.gateway
Feature: A request that crashes the instances it runs on is quarantined

  Scenario Outline: The same <kind> request is retried at every gateway
    # Guards against a request that crashes each engine that starts to run it.
    # Its caller retried it at any gateway, and engines crashed one after the
    # other with every stream that they served: each try was a new request to
    # its gateway, and only the instance was avoided.
    Given two more gateways and an instance for stage work
    And instances that crash restart under another name
    When a caller posts to /<path> 8 times, at each gateway in turn
    Then no more than 3 instances have crashed
    And the last attempts were refused as not run, with a long retry delay
    And a caller posts to /safe/answer and is served at each gateway

    Examples:
      | kind      | path            |
      | plain     | safe/crash      |
      | streaming | resumable/crash |

  Scenario: A request whose stage work crashes instances is retried
    # Guards against the same fault before a request runs: each piece that
    # crashed its instance was retried at two others, and again with each retry
    # of its caller.
    Given two more gateways and an instance for stage work
    And instances for stage work that crash restart under another name
    When a caller posts 8 times to /staged/answer with pieces that crash
    Then no more than 3 instances have crashed

  Scenario: Stage work of different requests on the same data crashes instances
    # Guards against evidence held per request only: the same data crashes instances in ever new requests.
    Given two more gateways and an instance for stage work
    And instances for stage work that crash restart under another name
    When callers post 6 different requests with pieces of the same data that crash
    Then no more than 5 instances have crashed
    And a request with pieces of other data is served at each gateway

  Scenario: An operator releases a request
    # Guards against a harmless caller that is refused for minutes while the
    # operators can only watch.
    Given two more gateways and an instance for stage work
    And instances that crash restart under another name
    And a gateway that operators can ask
    When a caller posts to /safe/crash 3 times, at each gateway in turn
    Then operators are shown the request and 2 crashes
    When they release it
    Then it is quarantined at no gateway

  Scenario: All gateways are killed and restarted
    # Guards against crash evidence that is lost with the gateways: a harmful
    # request would crash as many instances again.
    Given two more gateways and an instance for stage work
    And instances that crash restart under another name
    When a caller posts to /safe/crash 3 times, at each gateway in turn
    And the store holds 1 records of requests that are quarantined
    And all gateways are killed and started again
    And a caller posts to /safe/crash 3 times, at each gateway in turn
    Then no more than 3 instances have crashed

  Scenario: Only the evidence of two gateways together quarantines a request
    # Guards against a quarantine that is in no record, since no gateway decided it by its own evidence: it is lost when all are killed.
    Given two more gateways and an instance for stage work
    When two gateways have seen one crash each of the same request
    Then the store holds 1 records of requests that are quarantined

  Scenario: An operator's release reaches the store
    # Guards against a request that is quarantined again after a restart
    # although an operator has released it.
    Given two more gateways and an instance for stage work
    And instances that crash restart under another name
    And a gateway that operators can ask
    When a caller posts to /safe/crash 3 times, at each gateway in turn
    Then operators are shown the request and 2 crashes
    When the store holds 1 records of requests that are quarantined
    And they release it
    Then the store holds 0 records of requests that are quarantined

  Scenario Outline: A popular <kind> request runs beside the harmful one
    # Guards against callers of a harmless request being refused for minutes
    # because it was running at each crash of an instance. A successful run in
    # between has to release it at all gateways.
    Given two more gateways and an instance for stage work
    And one instance at a time for <pool> work
    When a harmful request crashes it 3 times while a popular one to <path> runs there
    And the popular request succeeds after each crash
    Then the popular request is served at each gateway

    Examples:
      | kind      | pool  | path                  |
      | plain     | plain | /safe/popular/hold    |
      | streaming | plain | /stream/popular/pause |
      | staged    | stage | /staged/popular/answer |

  Scenario Outline: Different <kind> requests share a harmful <position> prompt part
    # Guards against evidence held per request only: no two requests are alike, but all have the part that crashes instances.
    Given two more gateways and an instance for stage work
    And instances that crash restart under another name
    When callers post 8 different requests to /<route> whose <position> prompt part is harmful
    Then no more than 5 instances have crashed
    And the last attempts were refused as not run, with a long retry delay
    And requests with the other prompt parts are served at each gateway

    Examples:
      | kind      | route     | position |
      | plain     | safe      | second   |
      | streaming | resumable | second   |
      | streaming | stream    | first    |

  Scenario Outline: Harmless requests have no success before the <position> prompt part has crashed instances
    # Guards against refusing a template that each crashed request had too, when no engine was left to serve it in between.
    Given two more gateways and an instance for stage work
    And instances that crash restart under another name
    When callers post 8 different requests to /stream whose <position> prompt part is harmful, and no others
    Then no more than 5 instances have crashed
    And the last attempts were refused as not run, with a long retry delay
    And requests with the other prompt parts are served at each gateway

    Examples:
      | position |
      | first    |
      | second   |

  Scenario: All gateways are killed after a part has crashed instances
    # Guards against gateways that start together and have to learn of a harmful part anew.
    Given two more gateways and an instance for stage work
    And instances that crash restart under another name
    When callers post 4 different requests to /stream whose second prompt part is harmful
    And the store holds 1 records of requests that are quarantined
    And all gateways are killed and started again
    And callers post 4 different requests to /stream whose second prompt part is harmful
    Then no more than 3 instances have crashed
    And the last attempts were refused as not run, with a long retry delay

  Scenario: A gateway joins after a part has crashed instances
    # Guards against a gateway that serves before it knows what all others refuse.
    Given two more gateways and an instance for stage work
    And instances that crash restart under another name
    When callers post 4 different requests to /stream whose second prompt part is harmful
    And a gateway joins and becomes ready
    Then it refuses a request with the harmful part

  Scenario: An operator releases a prompt part
    # Guards against a harmless part that stays refused at some gateway after its release.
    Given two more gateways and an instance for stage work
    And instances that crash restart under another name
    And a gateway that operators can ask
    When callers post 4 different requests to /stream whose second prompt part is harmful
    Then operators are shown the request and 3 crashes
    When they release it
    Then it is quarantined at no gateway
