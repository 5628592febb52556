@each.gateway
Feature: Requests run only in the regions that are their homes

  Background:
    Given failure domains one, two and three in regions east, west and north
    And instances of the plain pool in each of them

  Scenario Outline: Homes of a route and of an organisation
    # Guards against requests that reach an instance in another region than
    # both the route and the organisation allow.
    Given the route allows <route> and the organisation <organisation>
    When 20 requests are sent to any of them
    Then they ran in <regions> only

    Examples:
      | route           | organisation    | regions               |
      | any region      | any region      | east, west and north  |
      | east            | any region      | east                  |
      | any region      | west            | west                  |
      | east and west   | west and north  | west                  |

  Scenario Outline: No instance is at home
    # Guards against callers who wait, or work that runs elsewhere, since no
    # instance of the pool may have it.
    Given the route allows <route> and the organisation <organisation>
    When 5 requests are sent to any of them
    Then all were refused at once as not run, and nothing ran

    Examples:
      | route  | organisation  |
      | east   | west          |
      | south  | any region    |

  Scenario: Pieces of requests that have a home
    # Guards against pieces that are made in another region, by the first
    # instance that is idle or after one at home has failed.
    When pieces at home in west wait for instances in east and west
    Then those in west make them, also after one of these has failed
