Feature: Results that take scarce space are begun late

  Scenario: Large results are made only when the others are nearly ready
    # Pictures for a chat were ready a second before its texts and took space
    # that urgent requests lacked.
    Given a chat with pictures, and texts that take three stages
    When space is scarce
    Then the pictures are begun when the second stage of the texts is done

  Scenario: Large results are not made so late that the answer is
    Given a chat with pictures, and texts that take three stages
    When space is scarce and the second stage of the texts never ends
    Then the pictures are begun 300 ms before their latest start

  Scenario: Large results are made at once where space is not scarce
    Given a chat with pictures, and texts that take three stages
    When space is not scarce
    Then the pictures are begun at once

  Scenario Outline: A deferred request does not start behind a long queue
    # Behind all others its first results expired before the next stage took
    # them, and the request was lost after work was spent on it.
    Given a deferred request with an objective of 4000 ms
    When pools expect a wait of <wait> ms and space is <space>
    Then it <verdict>

    Examples:
      | wait | space      | verdict     |
      | 600  | scarce     | starts      |
      | 1500 | scarce     | stays       |
      | 1500 | not scarce | starts      |

  Scenario Outline: Contracts of the installation decide whether space is saved
    When the platform declares <contracts> and the setting is <setting>
    Then space is <verdict>

    Examples:
      | contracts       | setting | verdict    |
      | base            | absent  | not scarce |
      | base, pressure  | absent  | scarce     |
      | base, pressure  | off     | not scarce |
      | base            | on      | scarce     |
