Feature: A process whose machine was suspended or that was frozen counts the time

  @each.gateway
  @each.suspension
  Scenario: A request is sent once more after its machine was suspended
    # Guards against an upstream that is given more time than its caller has.
    When a caller with 3000 ms posts to /safe/wait, and the machine is suspended for 1000 ms before another attempt
    Then no attempt was given more time than the caller had left

  @each.gateway
  @each.suspension
  Scenario Outline: A machine is suspended while a request waits for <what>
    # Guards against a caller that is held past its time limit.
    When a caller with 3000 ms posts to <path>, and the machine is suspended for 2000 ms
    Then it is answered within 3400 ms

    Examples:
      | what                 | path         |
      | a whole answer       | /unsafe/wait |
      | the head of a stream | /stream/wait |

  @each.suspension
  Scenario: A machine is suspended for longer than the lease of its sidecar
    # Guards against a key that runs twice: another member has taken over.
    Given an owner that has just confirmed its lease
    When its machine is suspended for as long as the lease lasts
    Then its ownership is no longer certain

  @each.gateway
  Scenario: The gateway that hosts a scheduler stands still for a while
    # Guards against results that are released while requests need them: pings
    # that wait to be read are taken for gateways that have terminated.
    Given two more gateways and an instance for stage work
    When 6 callers wait for upstreams with results of stages, and all gateways stand still for 1.5 s
    Then none of these results is released before the upstreams have answered
