@each.gateway
Feature: A stream goes on only in the pool in which it began
  Instances of two pools may have a software version of the same name, and a
  configuration may move a route from one pool to another.

  @fixture.log_lines
  Scenario Outline: A route moves while its streams are broken off: <where>
    # Guards against streams joined from two pools that have a version of the
    # same name.
    Given a second pool whose version has the same name
    And 2 more gateways that know both pools
    When 8 streams break off at g1
    And the route moves to the second pool
    And each of the streams is resumed at gateway <where>
    Then every resumption is refused
    And none of them has run

    Examples:
      | where |
      | g1    |

  @fixture.log_lines
  Scenario Outline: The weights of a split change: <where>
    # Guards against streams that go on in the pool to which their requests
    # would go now.
    Given a second pool whose version has the same name
    And 2 more gateways that know both pools
    And the route is split between both pools
    When 24 streams break off at g1
    And most of the route goes to the second pool
    And each of the streams is resumed at gateway <where>
    Then no stream is joined from two pools
    And some resumptions are refused
    And all streams that began in the second pool go on

    Examples:
      | where |
      | g1    |

  @fixture.log_lines
  Scenario Outline: Streams begin after their route has moved: <where>
    # Guards against streams that are refused although some gateway knows that
    # they began in the present pool.
    Given a second pool whose version has the same name
    And 2 more gateways that know both pools
    And the route moves to the second pool
    When 8 streams break off at g1
    And each of the streams is resumed at gateway <where>
    Then no stream is joined from two pools
    And all streams that began in the second pool go on

    Examples:
      | where |
      | g1    |

  @fixture.log_lines
  Scenario: All gateways are replaced, and no route has moved
    # Guards against resumptions that are refused after every restart.
    Given a second pool whose version has the same name
    And 2 more gateways that know both pools
    And the configuration changes nothing of the route
    When 8 streams break off at g1
    And gateways g1, g2, g3 are replaced
    And each of the streams is resumed at gateway new-g2
    Then no stream is joined from two pools
    And all streams that began in the first pool go on
