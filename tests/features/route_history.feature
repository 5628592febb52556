Feature: Gateways remember in which pools the streams of a path may have begun

  Scenario Outline: Routes come, go, move and are split: <change>
    # Guards against a stream that goes on in a pool in which it did not begin.
    When configurations change <change> at random
    Then each stream that may be resumed began in one of the pools
    And where no route of a path has changed there is no other pool
    And there is none once streams of before are no longer resumed

    Examples:
      | change                 |
      | routes                 |
      | routes and time limits |
      | some or all routes     |

  Scenario: A request is matched
    # Guards against a shorter prefix that wins, or a host that is not found.
    Then any request gets the route with the longest prefix of its path
