Feature: A short randomised run
  Whatever fails, and in whatever order, nothing is lost, doubled, handed to
  another request, falsely refused, cut by a stop, reverted or violated.

  Scenario Outline: Seed <seed> on <deployment>
    # A fleet of real processes is killed, frozen, stopped and cut off at
    # random while callers send and ask again.
    When <deployment> is broken at random from seed <seed> for 15 seconds
    Then nothing was lost, doubled, crossed, falsely refused or cut by a stop
    And nothing was reverted or violated

    Examples:
      | seed | deployment |
      | 12   | kingston   |
      | 21   | riga       |
