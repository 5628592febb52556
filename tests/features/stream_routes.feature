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
      | g2    |

  @fixture.log_lines
  Scenario: The gateway that relayed a stream is gone when its route has moved
    # Guards against a pool that is taken for that of a stream since nobody
    # remembers another one.
    Given a second pool whose version has the same name
    And 2 more gateways that know both pools
    When 8 streams break off at g1
    And the route moves to the second pool
    And g1 ends
    And each of the streams is resumed at gateway g2
    Then every resumption is refused
    And none of them has run

  @fixture.log_lines
  Scenario Outline: A gateway remembers what the routes were: <moves>
    # Guards against a gateway that judges a stream of before by the present
    # configuration alone.
    Given a second pool whose version has the same name
    And 2 more gateways that know both pools
    When 8 streams break off at g1
    And the route <moves>
    And g1 ends
    And each of the streams is resumed at gateway g2
    Then no stream is joined from two pools
    And some resumptions are refused

    Examples:
      | moves                                        |
      | moves to the second pool under another name  |
      | is covered by a longer path in second pool   |
      | is split between both pools                  |

  @fixture.log_lines
  Scenario: A gateway remembers a route with a longer path
    # Guards against a stream of a removed route that goes on in the pool of the
    # route which has its path now.
    Given a second pool whose version has the same name
    And 2 more gateways that know both pools
    And the route is covered by a longer path in second pool
    When 8 streams break off at g1
    And the longer path is removed
    And g1 ends
    And each of the streams is resumed at gateway g2
    Then every resumption is refused
    And none of them has run

  @fixture.log_lines
  Scenario Outline: All gateways are replaced after a route has moved: <moves>
    # Guards against streams joined from two pools by gateways that know only
    # the present configuration.
    Given a second pool whose version has the same name
    And 2 more gateways that know both pools
    When 8 streams break off at g1
    And the route <moves>
    And gateways g1, g2, g3 are replaced
    And each of the streams is resumed at gateway new-g2
    Then no stream is joined from two pools
    And some resumptions are refused

    Examples:
      | moves                                        |
      | moves to the second pool                     |
      | moves to the second pool under another name  |
      | is covered by a longer path in second pool   |
      | is split between both pools                  |

  @fixture.log_lines
  Scenario: A route with a longer path is removed
    # Guards against a stream of a removed route that goes on in the pool of the
    # route which has its path now.
    Given a second pool whose version has the same name
    And 2 more gateways that know both pools
    And the route is covered by a longer path in second pool
    When 8 streams break off at g1
    And the longer path is removed
    And gateways g1, g2, g3 are replaced
    And each of the streams is resumed at gateway new-g2
    Then every resumption is refused
    And none of them has run

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
      | g2    |

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
      | g2    |

  @fixture.log_lines
  Scenario: All gateways are replaced, and the store has the pool of the streams
    # Guards against streams that are given up although their pool is recorded.
    Given a second pool whose version has the same name
    And 2 more gateways that know both pools
    And the route moves to the second pool
    When 8 streams break off at g1
    And the store has each of them
    And gateways g1, g2, g3 are replaced
    And each of the streams is resumed at gateway new-g2
    Then no stream is joined from two pools
    And all streams that began in the second pool go on

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

  @fixture.log_lines
  Scenario: A caller of a split route names no stream
    # Guards against a pool that is chosen for a stream by another request.
    Given a second pool whose version has the same name
    And the route is split between both pools
    When a caller resumes a stream without naming it
    Then it gets status 503 and the request has run 0 times
