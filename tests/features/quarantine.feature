@each.gateway
Feature: A request that crashes what runs it is kept away from the rest

  Scenario Outline: The same <kind> request comes again at every gateway
    # Guards against a request that crashes each engine which begins to run it:
    # its caller sent it again and again, at any gateway, and ten engines ended
    # in thirteen seconds, with every stream that they served.  Each try was a
    # new request to the gateway that took it, and only the instance was avoided.
    Given two more gateways and an instance for stage work
    And instances that crash come back under another name
    When a caller posts to /<path> 8 times, at each gateway in turn
    Then no more than 3 instances have crashed
    And the last tries were refused as not run, to come back much later
    And a caller posts to /safe/answer and is served at each gateway

    Examples:
      | kind      | path            |
      | plain     | safe/crash      |
      | streaming | resumable/crash |
