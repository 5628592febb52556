@each.gateway
Feature: Requests run only in their allowed regions

  Background:
    Given failure domains one, two and three in regions east, west and north
    And instances of the plain pool in each of them

  Scenario Outline: Allowed regions of a route and of an organisation
    # Guards against requests that reach an instance in a region that the route
    # and the organisation do not both allow.
    Given the route allows <route> and the organisation <organisation>
    When 20 requests are sent to any of them
    Then they ran in <regions> only

    Examples:
      | route           | organisation    | regions               |
      | any region      | any region      | east, west and north  |
      | east            | any region      | east                  |
      | any region      | west            | west                  |
      | east and west   | west and north  | west                  |

  Scenario Outline: No instance is in an allowed region
    # Guards against callers that wait, or work that runs in another region,
    # when no instance of the pool is in an allowed region.
    Given the route allows <route> and the organisation <organisation>
    When 5 requests are sent to any of them
    Then all were refused at once as not run, and nothing ran

    Examples:
      | route  | organisation  |
      | east   | west          |
      | south  | any region    |

  Scenario: Pieces of requests that have allowed regions
    # Guards against pieces that are processed in another region, by the first
    # idle instance or after an instance in an allowed region has failed.
    When pieces allowed in west wait for instances in east and west
    Then the instances in west process them, also after one of them has failed
