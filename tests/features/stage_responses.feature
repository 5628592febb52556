Feature: A response is taken only for the request that it answers

  Scenario Outline: A copy of <response> arrives during the next call, <echo>
    # Guards against a piece that is given the results of another request, and
    # against later responses that are each taken for the next call's.
    Given an instance for stage work that sends <echo> of a request
    And its second response is <response>, and a copy comes during the third call
    When 6 calls for 2 pieces are sent, one after the other
    Then no piece has a result of another piece
    And at most <lost> of the calls after the second have no results
    And the last call has all its results

    Examples:
      | response              | echo          | lost |
      | results               | no identifier | 1    |
      | rejection             | no identifier | 0    |
      | reasons               | no identifier | 0    |
      | a result and a reason | no identifier | 1    |
      | results               | the identifier | 0    |
      | rejection             | the identifier | 0    |
      | reasons               | the identifier | 0    |
      | a result and a reason | the identifier | 0    |

  Scenario Outline: The call whose response is copied is repeated, <echo>
    # Guards against results of the first call, which may have been released
    # since, that are taken for those of its repetition.
    Given an instance for stage work that sends <echo> of a request
    And its second response is a result and a reason, and a copy comes during the third call
    When 6 calls for the same 2 pieces are sent, one after the other
    Then no call has a result that an earlier call has made
    And the last call has all its results

    Examples:
      | echo           |
      | no identifier  |
      | the identifier |

  Scenario Outline: A copy arrives during a <message>, <echo>
    # Guards against a response to a call that remains on its connection because
    # the response to another message was replaced by a copy.
    Given an instance for stage work that sends <echo> of a request
    When a call, a <message> during which a copy comes, and 3 calls are sent
    Then no piece has a result of another piece
    And the last call has all its results

    Examples:
      | message | echo           |
      | release | no identifier  |
      | report  | no identifier  |
      | release | the identifier |
      | report  | the identifier |

  Scenario Outline: A copy of the response to a <message> arrives during a call
    Given an instance for stage work that sends <echo> of a request
    When a <message>, a call during which a copy comes, and 3 calls are sent
    Then no piece has a result of another piece
    And the last call has all its results

    Examples:
      | message | echo           |
      | release | no identifier  |
      | report  | no identifier  |
      | release | the identifier |
      | report  | the identifier |

  Scenario Outline: Connections are kept without faults, <echo>
    # Guards against a new connection for each call, which the platform charges.
    Given an instance for stage work that sends <echo> of a request
    When 6 calls for 2 pieces are sent, one after the other
    Then the instance has got 1 connection

    Examples:
      | echo           |
      | no identifier  |
      | the identifier |

  Scenario: A connection is replaced after many requests
    # Guards against memory that grows as long as a connection is open.
    Given an instance for stage work that sends no identifier of a request
    And a limit of 2 requests for a connection
    When 6 calls for 2 pieces are sent, one after the other
    Then the instance has got 3 connections
    And the last call has all its results

  Scenario: Results of another instance are not taken
    # Guards against a response of an instance that has got the address of
    # another one, or that answers for it.
    Given an instance for stage work whose handles name another address
    When 1 call for 2 pieces is sent
    Then the call fails with outcome unknown and reason mismatched_answer

  Scenario: Any requests are answered in any form, with any copies
    # Model check: whatever is copied, no piece gets a result of another piece,
    # and of calls without copies each has its own response.
    When any calls, releases and reports meet any responses and copies
    Then no piece ever has a result of another piece
