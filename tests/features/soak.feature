Feature: A short randomised run
  Whatever fails, and in whatever order, no request is lost, run twice, answered
  with the response of another, refused without cause or cut off by a shutdown,
  and no state is reverted or violated.

  Scenario Outline: Seed <seed> on <deployment>
    # A fleet of real processes is killed, frozen, stopped and disconnected at
    # random while callers send and retry.
    When <deployment> is disturbed at random from seed <seed> for 15 seconds
    Then nothing was lost, doubled, crossed, falsely refused or cut by a stop
    And nothing was reverted or violated

    Examples:
      | seed | deployment |
      | 12   | kingston   |
      | 21   | riga       |
